// Package experimenter replays a load pattern against policies of waiting, refusing
// and placing, in one process and on a clock of its own. It runs the decisions
// themselves, not processes and networks: arrivals are drawn from a seed, groups
// work by the engines' published figures, nodes hear of each other with a lag, and
// turned-away clients come back once.
//
//	E1  The same pattern, seed and policy give the same figures.
//	E2  All policies of a run see the same arrivals and the same losses.
//	E3  A group lets calls in between two passes. A pass reads the prompts of those
//	    it let in, one after the other, and does Stride token steps for all; its
//	    time follows EngineProfile. An event is what a pass makes for a call.
//	E4  Worth counts as users value it: the whole for an answer whose first event
//	    and pauses keep the objective, a part for a later one, nothing for none.
//	E5  Losses of engines are replayed against the policies for groups with engines
//	    that carry orders out by their published times, a store that tells of them
//	    late, and entries that lapse; nothing of it knows the policy.
package experimenter
