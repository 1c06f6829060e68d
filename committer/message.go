package committer

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash/fnv"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/parser"
)

// proposalMessage is the body of garnetworks.TopicProposal. The manifest stays
// as it was written until it is judged, so that a manifest from a newer program
// still reaches the node that has to refuse it.
type proposalMessage struct {
	Proposal
	Manifest json.RawMessage `json:"manifest"`
}

// acceptedMessage is the body of garnetworks.TopicManifest. It has the fields of
// garnetworks.AcceptedManifest.
type acceptedMessage struct {
	Generation garnetworks.Generation     `json:"generation"`
	CommitID   string                     `json:"commit-id"`
	Operator   string                     `json:"operator"`
	At         time.Time                  `json:"at"`
	Manifest   json.RawMessage            `json:"manifest"`
	Recent     []garnetworks.CommitRecord `json:"recent,omitempty"`
}

// decode returns the accepted manifest, or why this program can't read it.
func (m *acceptedMessage) decode() (*garnetworks.AcceptedManifest, error) {
	manifest, err := parser.Decode(m.Manifest)
	if err != nil {
		return nil, err
	}
	return &garnetworks.AcceptedManifest{
		Generation: m.Generation,
		CommitID:   m.CommitID,
		Operator:   m.Operator,
		At:         m.At,
		Manifest:   *manifest,
		Recent:     m.Recent,
	}, nil
}

// update returns the message as an update; its fields always encode.
func (m *acceptedMessage) update() garnetworks.Update {
	body, _ := json.Marshal(m)
	return garnetworks.Update{
		Topic:   garnetworks.TopicManifest,
		Version: garnetworks.UpdateVersion{Sequence: uint64(m.Generation)},
		Body:    body,
	}
}

func (m *proposalMessage) update() garnetworks.Update {
	body, _ := json.Marshal(m)
	return garnetworks.Update{
		Topic:   garnetworks.TopicProposal,
		Version: garnetworks.UpdateVersion{Sequence: m.Number},
		Body:    body,
	}
}

// hashOf returns the hash by which the head names a body.
func hashOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// compareReports orders reports of one node by age.
func compareReports(a, b garnetworks.NodeReport) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Proposal, b.Proposal),
		cmp.Compare(a.Applied, b.Applied),
	)
}

// reports are the newest reports of a zone's nodes. Joining two of them is
// commutative, associative and idempotent, so that it does not matter who joins
// which, how often and in which order (rule M8).
type reports map[garnetworks.NodeID]garnetworks.NodeReport

// add joins one report and tells whether it brought something new. Of one
// incarnation, proposals and generations are joined each by itself: a node that
// applies a generation has not forgotten what it staged.
func (r reports) merge(report garnetworks.NodeReport) bool {
	known, ok := r[report.Node]
	if !ok || report.Incarnation > known.Incarnation {
		r[report.Node] = report
		return true
	}
	if report.Incarnation < known.Incarnation {
		return false
	}
	merged := known
	if report.Proposal > merged.Proposal {
		merged.Proposal, merged.Refusal, merged.StagedAt = report.Proposal, report.Refusal, report.StagedAt
	}
	if report.Applied > merged.Applied {
		merged.Applied, merged.AppliedAt = report.Applied, report.AppliedAt
	}
	r[report.Node] = merged
	return compareReports(known, merged) != 0
}

// lacks reports whether joining report would bring something new.
func (r reports) wouldChange(report garnetworks.NodeReport) bool {
	known, ok := r[report.Node]
	if !ok {
		return true
	}
	if report.Incarnation != known.Incarnation {
		return report.Incarnation > known.Incarnation
	}
	return report.Proposal > known.Proposal || report.Applied > known.Applied
}

// sorted returns the reports by node.
func (r reports) sorted() []garnetworks.NodeReport {
	list := make([]garnetworks.NodeReport, 0, len(r))
	for _, report := range r {
		list = append(list, report)
	}
	slices.SortFunc(list, func(a, b garnetworks.NodeReport) int { return cmp.Compare(a.Node, b.Node) })
	return list
}

// nextVersion returns a version above after. Two nodes that publish at once
// would otherwise give one version to two bodies, and half of the nodes would
// keep the one, half the other.
func nextVersion(after garnetworks.UpdateVersion, node garnetworks.NodeID) garnetworks.UpdateVersion {
	const tagBits = 16
	h := fnv.New32a()
	h.Write([]byte(node))
	count := after.Sequence>>tagBits + 1
	return garnetworks.UpdateVersion{Sequence: count<<tagBits | uint64(h.Sum32()&(1<<tagBits-1))}
}
