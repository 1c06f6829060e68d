// Package placer decides, for one availability zone, which replica groups
// exist, which instances they hold, which instances are powered and how the
// weight store's rate is shared.
//
// [Plan] is pure: the same [Input] gives the same [Output]. Its decisions are
// ordered; the caller carries them out one after another, writes each into the
// fabric domain's object before the order goes out, and plans again after any
// change. Nothing is remembered but [State], which the caller hands back and
// may lose: a new controller begins with an empty one.
package placer
