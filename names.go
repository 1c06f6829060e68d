package garnetworks

import "fmt"

// Names of what the system manages. They are opaque kebab-case strings; a name is not
// reused while the thing that it names exists.
type (
	// InstanceID names an instance, the machine of a backend server.
	InstanceID string
	// DomainID names a fabric domain, a set of instances connected by a fast network.
	DomainID string
	// ZoneID names an availability zone.
	ZoneID string
	// RegionID names a region, a set of availability zones.
	RegionID string
	// GroupID names a replica group. A group that is formed again gets a new name.
	GroupID string
	// NodeID names an entry node, a garnetd process on an entry instance.
	NodeID string
	// ModelName names a model in the manifest.
	ModelName string
	// VersionName names a version of a model.
	VersionName string
	// AdapterName names an adapter of a model.
	AdapterName string
	// WorkspaceName names a workspace, the unit of access control and limits.
	WorkspaceName string
	// ServiceName names a plain service.
	ServiceName string
	// CallID identifies a call or one attempt of it; backend servers echo it.
	CallID string
	// Generation numbers the accepted manifests from 1; 0 means none.
	Generation uint64
	// Era counts the times that the object API has come back from an older copy.
	Era uint32
	// Revision is the object API's version of an object; 0 means absent. Its high bits are
	// the era: in a new one the object API gives out numbers a second time, and a revision of
	// a later era is always the higher one.
	Revision uint64
	// Watts is electric power in watts.
	Watts int64
)

// revisionNumberBits is the number of a Revision's low bits, which hold the object API's number.
const revisionNumberBits = 40

// MaxEra is the highest Era that a Revision can hold.
const MaxEra Era = 1<<(64-revisionNumberBits) - 1

// NewRevision returns the revision with a number of the object API in an era.
func NewRevision(era Era, number uint64) Revision {
	return Revision(uint64(min(era, MaxEra))<<revisionNumberBits | min(number, 1<<revisionNumberBits-1))
}

// Era returns the era in which the object API gave out the revision.
func (r Revision) Era() Era { return Era(r >> revisionNumberBits) }

// Number returns the object API's own number, which a later era may give out again.
func (r Revision) Number() uint64 { return uint64(r) & (1<<revisionNumberBits - 1) }

// String returns the number, preceded by the era if it is above 0.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Number())
}

// WeightID names the weights of one version of a model in the weight store.
type WeightID struct {
	Model   ModelName   `json:"model"`
	Version VersionName `json:"version"`
}

// String returns the identifier as model@version.
func (w WeightID) String() string { return string(w.Model) + "@" + string(w.Version) }

// FencingToken orders the decisions about an instance or a group: the high 32
// bits are the lease term of the controller that issued it, the low 32 bits are
// a sequence number within the term (rule G3).
type FencingToken uint64

// NewFencingToken returns the token of a term and a sequence number.
func NewFencingToken(term, sequence uint32) FencingToken {
	return FencingToken(uint64(term)<<32 | uint64(sequence))
}

// Term returns the lease term under which the token was issued.
func (t FencingToken) Term() uint32 { return uint32(t >> 32) }

// Sequence returns the sequence number within the term.
func (t FencingToken) Sequence() uint32 { return uint32(t) }

// String returns the token as term.sequence.
func (t FencingToken) String() string { return fmt.Sprintf("%d.%d", t.Term(), t.Sequence()) }
