// Package apportioner computes, from the outcomes of calls and the engines' published speed, how
// many groups the calls to each model need and how the instances are divided between the models.
// It does no I/O and reads no clock.
//
// The rules:
//
//	P1  A group's rate is the highest rate of calls with which TargetFraction of them have their
//	    first event and all pauses on time, by EngineProfile: a pass takes StepsPerPass steps and
//	    the prefill of the prompts that arrived during the last one, a first event takes the rest
//	    of the running pass and one pass, and the calls in flight fit into the group's slots. Some
//	    groups get more calls than the mean, by imbalance.
//	    Load pattern: a model's calls are late at 20 of 30 slots, because prefill is the
//	    bottleneck; counted in slots, it needs no further group.
//	P2  A model needs its calls divided by that rate, multiplied by a correction: the ratio of the
//	    load at which the profile predicts the observed fraction on time to the actual load.
//	    Where both fractions are high the load says nothing, and the last correction stays; so it
//	    does after losses, which make calls late whatever a group's rate is.
//	    Load pattern: groups that are slower than their profile, or calls that are unevenly
//	    distributed.
//	P3  The configured shares apply without figures, until a model is not served on time, and again
//	    when all models are and the configured shares give each clearly more than it needs: groups
//	    beyond the need are the reserve for the next loss.
//	P4  Otherwise the instances in groups are divided in proportion to those that the models
//	    need, which gives their calls the same fraction on time. If there are too few, more urgent
//	    calls count more, and so do those that take fewer instances; what a model does not need
//	    goes to the others. The rest is for the peaks of waves.
//	    Load pattern: losses, and configured shares that don't match the calls.
//	P5  Figures are averaged over averagingTime, and shares change only if they differ by
//	    minShareChange for persistence and give more to a model that is not served on time.
//	    Load pattern: waves of 11 to 17 s and bursts of 3 s, during which a change of groups would
//	    cost more than it gains.
//	P6  No shares are computed from figures that cover less than minObservation, as after a
//	    takeover of the lease. The time before the first call is not averaged: it would hide
//	    what the calls need.
package apportioner
