package claimer

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/garnetworks/garnetworks"
	"github.com/pkg/errors"
)

// Sizes of objects, below garnetworks.MaxObjectBytes.
const (
	// shardTargetBytes is the size above which a shard hands records to its buckets.
	// It bounds the bytes that each group commit writes.
	shardTargetBytes = 128 << 10
	// shardMaxClaimBytes is the size above which a shard refuses new claims (rule C11).
	shardMaxClaimBytes = 640 << 10
	// shardMaxBytes is the size above which answers are dropped from completions.
	shardMaxBytes = 960 << 10
	// bucketMaxBytes is the size above which a bucket drops its oldest answers, and
	// takes no more records if that is not enough.
	bucketMaxBytes = 960 << 10
	// MaxInlineAnswer is the largest answer body that is kept in the record.
	MaxInlineAnswer = 4 << 10
	// MaxStoredAnswer is the largest answer body that is kept at all.
	MaxStoredAnswer = garnetworks.MaxObjectBytes - 4<<10
)

// Shard is the aggregate that decides who gets the keys of its range. It does
// no I/O; a changed shard is written under the condition that its object has
// not changed.
type Shard struct {
	_ struct{} `cbor:",toarray"`
	// Number is below Shards.
	Number int
	// Records are sorted by Key; each key is there once at most.
	Records []Record
	// Marks hold, for each bucket, the lowest revision of its object that a
	// reader of this shard must have read (rule C9); they never decrease.
	Marks [Buckets]garnetworks.Revision
}

// Bucket holds records at rest.
type Bucket struct {
	_ struct{} `cbor:",toarray"`
	// Records are sorted by Key; each key is there once at most.
	Records []Record
}

// OpKind is what an operation does.
type OpKind uint8

const (
	// OpClaim claims a key.
	OpClaim OpKind = iota + 1
	// OpComplete records an answer.
	OpComplete
	// OpUnknown records that the outcome is not known.
	OpUnknown
	// OpRelease records that the call did not run.
	OpRelease
)

// Op is an operation on one key.
type Op struct {
	_    struct{} `cbor:",toarray"`
	Kind OpKind
	Key  Digest
	Body Digest
	Call garnetworks.CallID
	// Until is the claim's end in Unix milliseconds.
	Until int64
	// Answer is set for OpComplete.
	Answer Answer
}

// Verdict is the result of an operation, valid once the shard that Apply
// returned is proven to be in the store, or if it did not change.
type Verdict uint8

const (
	// VerdictGranted gives the key to the call.
	VerdictGranted Verdict = iota + 1
	// VerdictRecorded returns the first call's answer.
	VerdictRecorded
	// VerdictInProgress says that another call has the key and may still run.
	VerdictInProgress
	// VerdictUnknown says that another call had the key and may have run.
	VerdictUnknown
	// VerdictKeyReused says that the key was used with another body.
	VerdictKeyReused
	// VerdictReleased says that the call has given its claim up before.
	VerdictReleased
	// VerdictFull says that the shard takes no new claims.
	VerdictFull
	// VerdictDone says that a completion, unknown or release is in effect.
	VerdictDone
	// VerdictSuperseded says that the record belongs to another call by now, so that a
	// completion, unknown or release has no place.
	VerdictSuperseded
)

// Result is a verdict with the record that it rests on.
type Result struct {
	_       struct{} `cbor:",toarray"`
	Verdict Verdict
	Record  Record
}

// Lookup finds a record in the buckets at revisions of at least Marks.
type Lookup func(key Digest) (Record, bool)

// transaction is a shard while operations are applied to it.
type transaction struct {
	shard   *Shard
	lookup  Lookup
	now     time.Time
	bytes   int
	changed bool
}

// Apply applies operations in order. It returns the shard afterwards, which
// shares nothing that is written with s, the results, and whether the shard has
// changed.
func (s *Shard) Apply(now time.Time, lookup Lookup, ops []Op) (*Shard, []Result, bool) {
	next := *s
	next.Records = slices.Clone(s.Records)
	d := &transaction{shard: &next, lookup: lookup, now: now, bytes: s.size()}
	results := make([]Result, len(ops))
	for i := range ops {
		results[i] = d.apply(&ops[i])
	}
	return &next, results, d.changed
}

func (d *transaction) apply(op *Op) Result {
	switch op.Kind {
	case OpClaim:
		return d.claim(op)
	case OpComplete:
		return d.recordOutcome(op, StateCompleted)
	case OpUnknown:
		return d.recordOutcome(op, StateUnknown)
	default:
		return d.release(op)
	}
}

// find returns the newest copy of the key's record.
func (d *transaction) find(key Digest) (Record, bool) {
	i, inShard := slices.BinarySearchFunc(d.shard.Records, key, compareKey)
	bucketRecord, inBucket := d.lookup(key)
	switch {
	case inShard && inBucket:
		return merge(d.shard.Records[i], bucketRecord), true
	case inShard:
		return d.shard.Records[i], true
	}
	return bucketRecord, inBucket
}

// claim decides an OpClaim.
func (d *transaction) claim(op *Op) Result {
	r, ok := d.find(op.Key)
	if !ok {
		return d.grant(op, &Record{})
	}
	if r.Call == op.Call {
		return Result{Verdict: sameCallVerdict(&r), Record: r}
	}
	if slices.Contains(r.Stopped, op.Call) {
		return Result{Verdict: VerdictReleased, Record: r} // rule C4
	}
	if r.State == StateReleased {
		return d.grant(op, &r)
	}
	return Result{Verdict: otherCallVerdict(&r, op, d.now), Record: r}
}

// grant gives the key to the call after a released record, or the zero one, if
// the call has not ended (rule C6) and there is room (rule C11).
func (d *transaction) grant(op *Op, before *Record) Result {
	if d.now.UnixMilli() >= op.Until {
		return Result{Verdict: VerdictReleased}
	}
	if d.bytes > shardMaxClaimBytes {
		return Result{Verdict: VerdictFull}
	}
	r := Record{
		Key: op.Key, Body: op.Body, Call: op.Call, Epoch: before.Epoch + 1, State: StateClaimed,
		Until: op.Until, Changed: d.now.UnixMilli(),
	}
	if before.Epoch > 0 {
		r.Stopped = appendStopped(before.Stopped, before.Call) // rule C4
	}
	d.put(r)
	return Result{Verdict: VerdictGranted, Record: r}
}

// sameCallVerdict is the verdict on a claim that finds its own call's record: the
// operation was applied before (rule C2).
func sameCallVerdict(r *Record) Verdict {
	switch r.State {
	case StateClaimed:
		return VerdictGranted
	case StateCompleted:
		return VerdictRecorded
	case StateReleased:
		return VerdictReleased // rule C4
	default:
		return VerdictUnknown
	}
}

// otherCallVerdict is the verdict on a claim that finds another call's record.
func otherCallVerdict(r *Record, op *Op, now time.Time) Verdict {
	switch {
	case r.Body != op.Body:
		return VerdictKeyReused
	case r.State == StateCompleted:
		return VerdictRecorded
	case r.State == StateClaimed && now.UnixMilli() < r.Until:
		return VerdictInProgress
	default:
		return VerdictUnknown // rule C6
	}
}

// recordOutcome decides an OpComplete or OpUnknown. A record that is gone, forgotten
// or not, is written anew: the call ran, and the key must not be free.
func (d *transaction) recordOutcome(op *Op, state State) Result {
	r, ok := d.find(op.Key)
	if !ok {
		r = Record{Key: op.Key, Body: op.Body, Call: op.Call, Epoch: 1, Until: op.Until}
	}
	if r.Call != op.Call {
		return Result{Verdict: VerdictSuperseded, Record: r}
	}
	if r.State >= state {
		return Result{Verdict: VerdictDone, Record: r}
	}
	r.State = state
	r.Changed = d.now.UnixMilli()
	r.Answer = op.Answer
	if r.Answer.Form == AnswerInline && d.bytes+r.size() > shardMaxBytes {
		r.Answer = Answer{Form: AnswerDropped} // rule C11
	}
	d.put(r)
	return Result{Verdict: VerdictDone, Record: r}
}

// release decides an OpRelease. Where there is no record it leaves one, which
// stops the claim's own write if that lands later by another way (rule C4).
func (d *transaction) release(op *Op) Result {
	r, ok := d.find(op.Key)
	if !ok {
		r = Record{Key: op.Key, Body: op.Body, Call: op.Call, Epoch: 1, Until: op.Until}
	}
	if r.Call != op.Call {
		return d.stopCall(op, r)
	}
	if ok && r.State != StateClaimed {
		return Result{Verdict: VerdictDone, Record: r}
	}
	r.State = StateReleased
	r.Changed = d.now.UnixMilli()
	d.put(r)
	return Result{Verdict: VerdictDone, Record: r}
}

// stopCall notes that a call has given up a key that is another call's now, or
// was and is free. The note changes the shard, so that a write of the given up
// claim under the same condition fails, and it outlasts the other call's
// release, so that a copy of the claim that is still on its way is refused.
func (d *transaction) stopCall(op *Op, r Record) Result {
	if slices.Contains(r.Stopped, op.Call) {
		return Result{Verdict: VerdictDone, Record: r}
	}
	r.Stopped = appendStopped(r.Stopped, op.Call)
	d.put(r)
	return Result{Verdict: VerdictDone, Record: r}
}

// appendStopped returns the newest stopped calls with one more.
func appendStopped(stopped []garnetworks.CallID, call garnetworks.CallID) []garnetworks.CallID {
	kept := stopped[max(0, len(stopped)-maxStopped+1):]
	return append(slices.Clone(kept), call)
}

// put replaces or adds a record.
func (d *transaction) put(r Record) {
	d.changed = true
	i, ok := slices.BinarySearchFunc(d.shard.Records, r.Key, compareKey)
	if ok {
		d.bytes += r.size() - d.shard.Records[i].size()
		d.shard.Records[i] = r
		return
	}
	d.bytes += r.size()
	d.shard.Records = slices.Insert(d.shard.Records, i, r)
}

func compareKey(r Record, key Digest) int { return compareDigests(r.Key, key) }

// size estimates the shard's encoded bytes from above.
func (s *Shard) size() int {
	const fixed = 16 + Buckets*9
	return fixed + sizeOf(s.Records)
}

func sizeOf(records []Record) int {
	total := 0
	for i := range records {
		total += records[i].size()
	}
	return total
}

// FullestBucket returns the bucket with the most bytes at rest in the shard, if the
// shard is above its target size.
func (s *Shard) FullestBucket(now time.Time) (int, bool) {
	if s.size() <= shardTargetBytes {
		return 0, false
	}
	var bytes [Buckets]int
	for i := range s.Records {
		if r := &s.Records[i]; r.settled(now) {
			bytes[r.Key.Bucket()] += r.size()
		}
	}
	fullest := 0
	for b := range bytes {
		if bytes[b] > bytes[fullest] {
			fullest = b
		}
	}
	return fullest, bytes[fullest] > 0
}

// ExpiryClock returns now, or the middle one of the ends of the shard's claims if
// that is earlier. The ends were set by the nodes that received the calls, so a
// node whose own clock runs days ahead does not forget the records of a day:
// their keys would be free, and a replay would run a second time (rule C10).
func (s *Shard) ExpiryClock(now time.Time) time.Time {
	ends := make([]int64, len(s.Records))
	for i := range s.Records {
		ends[i] = s.Records[i].Until
	}
	if len(ends) == 0 {
		return now
	}
	slices.Sort(ends)
	median := time.UnixMilli(ends[len(ends)/2])
	if median.Before(now) {
		return median
	}
	return now
}

// Settled returns the records of a bucket that may leave the shard.
func (s *Shard) Settled(now time.Time, bucket int) []Record {
	var settled []Record
	for _, r := range s.Records {
		if r.Key.Bucket() == bucket && r.settled(now) {
			settled = append(settled, r)
		}
	}
	return settled
}

// Without returns the shard after records were written to a bucket at a
// revision. A record that has changed since stays (rule C9).
func (s *Shard) Without(bucket int, written []Record, revision garnetworks.Revision) *Shard {
	moved := make(map[Digest]Record, len(written))
	for _, r := range written {
		moved[r.Key] = r
	}
	next := *s
	next.Marks[bucket] = max(next.Marks[bucket], revision)
	next.Records = make([]Record, 0, len(s.Records))
	for _, r := range s.Records {
		w, ok := moved[r.Key]
		if ok && w.Epoch == r.Epoch && w.State == r.State {
			continue
		}
		next.Records = append(next.Records, r)
	}
	return &next
}

// Merge returns the bucket with records joined in and lapsed ones left out, and
// the lapsed ones whose answers are objects of their own. It returns false if
// the bucket would be full even without answers (rule C11).
func (b *Bucket) Merge(now time.Time, retention time.Duration, records []Record) (*Bucket, []Record, bool) {
	byKey := make(map[Digest]Record, len(b.Records)+len(records))
	for _, list := range [][]Record{b.Records, records} {
		for _, r := range list {
			if known, ok := byKey[r.Key]; ok {
				r = merge(known, r)
			}
			byKey[r.Key] = r
		}
	}
	next := &Bucket{}
	var expiredStored []Record
	for _, r := range byKey {
		switch {
		case !r.expired(now, retention):
			next.Records = append(next.Records, r)
		case r.Answer.Form == AnswerStored:
			expiredStored = append(expiredStored, r)
		}
	}
	slices.SortFunc(next.Records, func(a, b Record) int { return compareDigests(a.Key, b.Key) })
	return next, expiredStored, next.dropAnswers()
}

// dropAnswers drops inline answers, oldest first, until the bucket fits.
func (b *Bucket) dropAnswers() bool {
	excess := sizeOf(b.Records) - bucketMaxBytes
	if excess <= 0 {
		return true
	}
	oldest := make([]*Record, len(b.Records))
	for i := range b.Records {
		oldest[i] = &b.Records[i]
	}
	slices.SortFunc(oldest, func(a, b *Record) int { return cmp.Compare(a.Changed, b.Changed) })
	for _, r := range oldest {
		if excess <= 0 {
			break
		}
		if r.Answer.Form != AnswerInline {
			continue
		}
		before := r.size()
		r.Answer = Answer{Form: AnswerDropped}
		excess -= before - r.size()
	}
	return excess <= 0
}

// Find returns the bucket's record of a key.
func (b *Bucket) Find(key Digest) (Record, bool) {
	i, ok := slices.BinarySearchFunc(b.Records, key, compareKey)
	if !ok {
		return Record{}, false
	}
	return b.Records[i], true
}

// encode returns a shard's or bucket's value.
func encode(v any) ([]byte, error) {
	value, err := cbor.Marshal(v)
	return value, errors.Wrap(err, "encode claims")
}

// decode reads a shard or bucket.
func decode(value []byte, v any) error {
	return errors.Wrap(cbor.Unmarshal(value, v), "decode claims")
}
