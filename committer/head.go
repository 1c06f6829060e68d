package committer

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// HeadKey is the object key of the head.
	HeadKey = "manifest/head"
	// bodyPrefix is the key prefix of manifest bodies; the commit identifier follows.
	bodyPrefix = "manifest/body/"
	// maxRecentCommits is the number of accepted commits that the head keeps, so that an
	// operator's program can look up a commit for some hours.
	maxRecentCommits = 150
	// maxEndedCommits is the number of refused and superseded commits that the head keeps.
	maxEndedCommits = 50
)

// BodyKey returns the object key of a commit's manifest.
func BodyKey(commitID string) string { return bodyPrefix + commitID }

// Head is the aggregate that decides which manifest is accepted. Its methods return a
// changed copy and do not modify the receiver.
type Head struct {
	// Accepted is the commit of the newest generation; zero before the first. Its
	// Generation grows by one at a time and never decreases.
	Accepted garnetworks.CommitRecord `json:"accepted"`
	// Hash is the SHA-256 of the accepted manifest's body, in hexadecimal.
	Hash string `json:"hash"`
	// Proposals is the number of proposals made so far; it never decreases.
	Proposals uint64 `json:"proposals"`
	// Pending is the proposal that may become the next generation, or nil. Its Base is
	// Accepted.Generation.
	Pending *Proposal `json:"pending,omitempty"`
	// Recent are the last accepted commits, oldest first; the last one is Accepted.
	Recent []garnetworks.CommitRecord `json:"recent,omitempty"`
	// Ended are the last commits that were refused or superseded, oldest first.
	Ended []EndedProposal `json:"ended,omitempty"`
	// Garbage are commits whose bodies may be deleted.
	Garbage []string `json:"garbage,omitempty"`
}

// Proposal is a commit that has not been accepted yet.
type Proposal struct {
	// Number numbers the proposals from 1.
	Number   uint64                 `json:"number"`
	CommitID string                 `json:"commit-id"`
	Operator string                 `json:"operator"`
	Base     garnetworks.Generation `json:"base"`
	// Hash is the SHA-256 of the manifest's body, in hexadecimal.
	Hash string    `json:"hash"`
	At   time.Time `json:"at"`
}

// EndedProposal is a commit that was refused or superseded; it is never accepted.
type EndedProposal struct {
	Proposal
	// State is garnetworks.CommitRefused or garnetworks.CommitSuperseded.
	State  garnetworks.CommitState `json:"state"`
	Reason string                  `json:"reason"`
}

// decodeHead decodes a stored head.
func decodeHead(value []byte) (Head, error) {
	var h Head
	err := json.Unmarshal(value, &h)
	return h, garnetworks.WrapError(garnetworks.KindInternal, err, "the object "+HeadKey+" is damaged")
}

// encode returns the head as it is stored; encoding can't fail.
func (h Head) encode() []byte {
	body, _ := json.Marshal(h)
	return body
}

// Progress returns the progress of a commit, or false if the head does not record it.
func (h Head) Progress(commitID string) (garnetworks.CommitProgress, bool) {
	for _, r := range h.Recent {
		if r.CommitID == commitID {
			return acceptedProgress(r), true
		}
	}
	if p := h.Pending; p != nil && p.CommitID == commitID {
		return pendingProgress(p), true
	}
	for _, e := range h.Ended {
		if e.CommitID == commitID {
			progress := pendingProgress(&e.Proposal)
			progress.State, progress.Reason = e.State, e.Reason
			progress.Winner = h.winner(e.Base)
			return progress, true
		}
	}
	return garnetworks.CommitProgress{}, false
}

// winner returns the commit that was accepted on a base, or zero if the head no longer
// records it.
func (h Head) winner(base garnetworks.Generation) garnetworks.CommitRecord {
	for _, r := range h.Recent {
		if r.Generation == base+1 {
			return r
		}
	}
	return garnetworks.CommitRecord{}
}

func acceptedProgress(r garnetworks.CommitRecord) garnetworks.CommitProgress {
	return garnetworks.CommitProgress{
		CommitID:   r.CommitID,
		Operator:   r.Operator,
		Base:       r.Generation - 1,
		State:      garnetworks.CommitAccepted,
		Generation: r.Generation,
		AcceptedAt: r.At,
	}
}

func pendingProgress(p *Proposal) garnetworks.CommitProgress {
	return garnetworks.CommitProgress{
		CommitID:   p.CommitID,
		Operator:   p.Operator,
		Base:       p.Base,
		Proposal:   p.Number,
		State:      garnetworks.CommitStaging,
		ProposedAt: p.At,
	}
}

// Propose makes p the pending proposal (rule M1). It returns KindStaleGeneration if the base
// is not the newest generation, KindInvalidRequest if it does not exist yet,
// KindOutcomeUnknown if it is older than the recorded history, and KindConflict if a
// commit other than supersedes is pending.
func (h Head) Propose(p Proposal, supersedes string) (Head, error) {
	if p.Base != h.Accepted.Generation {
		return h, h.staleBaseError(p.Base)
	}
	if old := h.Pending; old != nil && old.CommitID != supersedes {
		return h, garnetworks.Errorf(garnetworks.KindConflict,
			"commit %s by %s on generation %d is pending since %s", old.CommitID, old.Operator, old.Base, old.At.UTC().Format(time.RFC3339))
	}
	if h.Pending != nil {
		h = h.endPending(garnetworks.CommitSuperseded, "commit "+p.CommitID+" by "+p.Operator+" took its place")
	}
	h.Proposals++
	p.Number = h.Proposals
	h.Pending = &p
	return h, nil
}

// staleBaseError returns the error for a base that is not the newest generation; it names
// the winner.
func (h Head) staleBaseError(base garnetworks.Generation) error {
	if base > h.Accepted.Generation {
		return garnetworks.Errorf(garnetworks.KindInvalidRequest,
			"there is no generation %d to build on; the newest is %d; this request has written nothing", base, h.Accepted.Generation)
	}
	if w := h.winner(base); w.CommitID != "" {
		return garnetworks.Errorf(garnetworks.KindStaleGeneration,
			"generation %d was made from generation %d first, by %s with commit %s; the newest is generation %d",
			w.Generation, base, w.Operator, w.CommitID, h.Accepted.Generation)
	}
	// The commit may have been accepted long ago and be repeated now, so its outcome is
	// unknown (rule M3).
	return garnetworks.Errorf(garnetworks.KindOutcomeUnknown,
		"what was made from generation %d is older than the history that is kept; the newest is %d, by %s with commit %s",
		base, h.Accepted.Generation, h.Accepted.Operator, h.Accepted.CommitID)
}

// Accept makes the pending proposal the newest generation. It returns false if the pending
// proposal does not have the number.
func (h Head) Accept(number uint64, now time.Time) (Head, bool) {
	p := h.Pending
	if p == nil || p.Number != number || p.Base != h.Accepted.Generation {
		return h, false
	}
	if h.Accepted.CommitID != "" {
		h.Garbage = append(slices.Clone(h.Garbage), h.Accepted.CommitID)
	}
	h.Accepted = garnetworks.CommitRecord{Generation: p.Base + 1, CommitID: p.CommitID, Operator: p.Operator, At: now}
	h.Hash = p.Hash
	h.Recent = tail(append(slices.Clone(h.Recent), h.Accepted), maxRecentCommits)
	h.Pending = nil
	return h, true
}

// Refuse ends the pending proposal. It returns false if that does not have the number.
func (h Head) Refuse(number uint64, reason string) (Head, bool) {
	if h.Pending == nil || h.Pending.Number != number {
		return h, false
	}
	return h.endPending(garnetworks.CommitRefused, reason), true
}

// endPending moves the pending proposal to the ended ones.
func (h Head) endPending(state garnetworks.CommitState, reason string) Head {
	ended := EndedProposal{Proposal: *h.Pending, State: state, Reason: reason}
	h.Ended = tail(append(slices.Clone(h.Ended), ended), maxEndedCommits)
	h.Garbage = append(slices.Clone(h.Garbage), ended.CommitID)
	h.Pending = nil
	return h
}

// WithoutGarbage returns the head without the garbage whose bodies were deleted.
func (h Head) WithoutGarbage(deleted []string) Head {
	h.Garbage = slices.DeleteFunc(slices.Clone(h.Garbage), func(id string) bool { return slices.Contains(deleted, id) })
	return h
}

// tail returns the last n values, or all if there are fewer.
func tail[T any](values []T, n int) []T {
	return values[max(0, len(values)-n):]
}
