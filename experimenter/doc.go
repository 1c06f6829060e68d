// Package experimenter simulates policies for scheduling calls and forming groups under a
// load pattern. It runs in one process on a simulated clock and executes the policies'
// own decision code, not processes and networks: arrivals are drawn from a seed, groups
// work at the engines' published speed, nodes exchange their load with a delay, and
// rejected clients retry as the pattern says.
//
//	E1  The same pattern, seed and policy give the same figures.
//	E2  All policies of a run see the same arrivals and the same losses.
//	E3  A group admits calls between two passes. A pass prefills the prompts of the
//	    newly admitted calls one after the other and runs StepsPerPass token steps
//	    for all calls; its duration follows EngineProfile. Each pass yields one event
//	    per call.
//	E4  Credit follows the users' valuation: the full worth for a response whose first
//	    event and gaps are within the objective, LateWorth for a later one, nothing
//	    for none.
//	E5  Losses of engines are simulated for the policies that form groups, with
//	    engines that execute orders at their published speed, a store that lists
//	    changes late, and entries that lapse; none of this depends on the policy.
package experimenter
