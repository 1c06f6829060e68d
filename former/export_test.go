package former

// SendOrder sends an order to an engine.
var SendOrder = sendOrder
