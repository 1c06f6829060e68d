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

// proposalMessage is the body of garnetworks.TopicProposal. The manifest is decoded only
// when the proposal is evaluated, so that a node which can't decode a newer format still
// receives the proposal and can refuse it.
type proposalMessage struct {
	Proposal
	Manifest json.RawMessage `json:"manifest"`
}

// acceptedMessage is the body of garnetworks.TopicManifest. It has the fields of
// garnetworks.AcceptedManifest, with the manifest not yet decoded.
type acceptedMessage struct {
	Generation garnetworks.Generation     `json:"generation"`
	CommitID   string                     `json:"commit-id"`
	Operator   string                     `json:"operator"`
	At         time.Time                  `json:"at"`
	Manifest   json.RawMessage            `json:"manifest"`
	Recent     []garnetworks.CommitRecord `json:"recent,omitempty"`
}

// decode returns the accepted manifest, or an error if this program can't decode it.
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

// update returns the message as an update; encoding can't fail.
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

// hashOf returns the hash of a manifest body, as recorded in the head.
func hashOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// compareReports compares two reports of one node by how recent they are.
func compareReports(a, b garnetworks.NodeReport) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Proposal, b.Proposal),
		cmp.Compare(a.Applied, b.Applied),
	)
}

// reports holds the newest report of each node of a zone. Merging is commutative,
// associative and idempotent, so that the order and number of merges do not matter (rule
// M8).
type reports map[garnetworks.NodeID]garnetworks.NodeReport

// merge merges a report and reports whether it changed anything. Within an incarnation,
// proposal and applied generation are merged independently, because a node that applies a
// generation keeps the proposal that it staged.
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

// wouldChange reports whether merging the report would change anything.
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

// sorted returns the reports sorted by node.
func (r reports) sorted() []garnetworks.NodeReport {
	list := make([]garnetworks.NodeReport, 0, len(r))
	for _, report := range r {
		list = append(list, report)
	}
	slices.SortFunc(list, func(a, b garnetworks.NodeReport) int { return cmp.Compare(a.Node, b.Node) })
	return list
}

// nextVersion returns a version above after that contains a hash of the node's name. If two
// nodes published different bodies at once under one version, the other nodes would keep
// whichever arrived first.
func nextVersion(after garnetworks.UpdateVersion, node garnetworks.NodeID) garnetworks.UpdateVersion {
	const tagBits = 16
	h := fnv.New32a()
	h.Write([]byte(node))
	count := after.Sequence>>tagBits + 1
	return garnetworks.UpdateVersion{Sequence: count<<tagBits | uint64(h.Sum32()&(1<<tagBits-1))}
}
