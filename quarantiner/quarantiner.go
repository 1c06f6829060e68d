package quarantiner

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/garnetworks/garnetworks"
)

const (
	// MostRecords bounds the contents that a node remembers; those with the fewest ends
	// go first, the oldest of them before the others. An availability zone of 300 engines
	// that goes dark leaves some 1,500 calls broken off, each of which takes 300 bytes.
	MostRecords = 2048
	// MostStored bounds the contents in the object API, and so its value to 0.3 MB.
	MostStored = 256
	// mostTold bounds the records in a message between nodes to 10 KB.
	mostTold = 128
	// recentTime is how long a change is told to other nodes: four of their exchanges, so
	// that a few lost ones don't matter.
	recentTime = 600 * time.Millisecond
	// proofTime is how long a call waits for a proof. The server's host refuses within
	// milliseconds, and another node's question takes one exchange to be heard of.
	proofTime = 300 * time.Millisecond
	// mostSound bounds the contents that a node knows to be sound. At 25 calls a second
	// they are those of more than SoundTime.
	mostSound = 2048
)

// Options describe a quarantiner.
type Options struct {
	// Prove finds out whether a life has ended, by asking the server; if its entry is gone
	// only if ask is set. CrashSuspected means that it can't be told.
	Prove func(ctx context.Context, life garnetworks.Incarnation, ask bool) garnetworks.CrashState
	// Objects is the object API itself.
	Objects garnetworks.ObjectAPI
	// Reads reports whether the node reads the object API for others, or reaches none.
	Reads func() bool
	// FirstRead is how long a node that starts leaves the object to others, of which it
	// hears meanwhile.
	FirstRead time.Duration
	// ReadWait is the longest wait of the watch; DefaultReadWait if it is 0.
	ReadWait time.Duration
	// Publish gets the object's value, with its revision, whenever the node has read or
	// written it, to spread it to others that take it by TakeObject; it may be nil.
	Publish func(value []byte, revision garnetworks.Revision)
	// Recorder is told which contents are held and which are no longer; it may be nil.
	Recorder garnetworks.Recorder
}

// Quarantiner knows which contents are held. It implements garnetworks.Quarantine and
// garnetworks.ContentRecordStore, and is safe for concurrent use.
type Quarantiner struct {
	options Options
	// asking and storing wake the duties that ask after lives and write records.
	asking, storing chan struct{}

	mu      sync.Mutex
	records map[garnetworks.ContentDigest]*record
	// held tells until when contents are held.
	held map[garnetworks.ContentDigest]time.Time
	// sound tells when contents were last answered whole; order holds them by the time
	// at which they were first.
	sound map[garnetworks.ContentDigest]time.Time
	order []garnetworks.ContentDigest
	// stored are the sums of the records that the object API is known to have.
	stored map[garnetworks.ContentDigest]uint64
	// sum is what Sum returns, if summed; each message between nodes asks for it.
	sum    uint64
	summed bool
	// news is closed, and made anew, whenever anything is learnt.
	news chan struct{}
}

// New returns a quarantiner that holds nothing.
func New(options Options) *Quarantiner {
	options.ReadWait = cmp.Or(options.ReadWait, DefaultReadWait)
	return &Quarantiner{
		options: options, asking: make(chan struct{}, 1), storing: make(chan struct{}, 1),
		records: make(map[garnetworks.ContentDigest]*record), held: make(map[garnetworks.ContentDigest]time.Time),
		sound: make(map[garnetworks.ContentDigest]time.Time), stored: make(map[garnetworks.ContentDigest]uint64),
		news: make(chan struct{}),
	}
}

// Run asks after servers, and reads and writes the object API, until ctx ends.
func (q *Quarantiner) Run(ctx context.Context) error {
	duties, ctx := errgroup.WithContext(ctx)
	duties.Go(func() error { q.ask(ctx); return nil })
	duties.Go(func() error { q.follow(ctx); return nil })
	duties.Go(func() error { q.store(ctx); return nil })
	return duties.Wait()
}

// Quarantined implements garnetworks.Quarantine.
//
// Failure: the third server ends, and the call is repeated at a fourth one in the
// milliseconds in which the third one's end is proven. So it waits while the proof that
// would hold it is due.
func (q *Quarantiner) Quarantined(ctx context.Context, content garnetworks.ContentDigest) (time.Duration, bool) {
	for {
		left, open, news := q.look(time.Now(), content)
		if left > 0 || open <= 0 {
			return left, left > 0
		}
		timer := time.NewTimer(open)
		select {
		case <-ctx.Done():
		case <-news:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return 0, false
		}
	}
}

// look returns for how long the content is held, for how long the proof that would hold it
// is due, and a channel that is closed when anything more is known.
func (q *Quarantiner) look(now time.Time, content garnetworks.ContentDigest) (left, open time.Duration, news <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	left = q.held[content].Sub(now)
	if r := q.records[content]; left <= 0 && r != nil && r.pending() {
		open = r.last().Add(proofTime).Sub(now)
	}
	return left, open, q.news
}

// ReportInterrupted implements garnetworks.Quarantine.
func (q *Quarantiner) ReportInterrupted(content garnetworks.ContentDigest, life garnetworks.Incarnation) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.record(content)
	r.seen = true
	if r.join(life, now, garnetworks.CrashSuspected) {
		q.learnt(now, content, r)
		q.judge(now)
	}
}

// ReportCompleted implements garnetworks.Quarantine.
func (q *Quarantiner) ReportCompleted(content garnetworks.ContentDigest) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.sound[content]; !ok {
		q.order = append(q.order, content)
	}
	q.sound[content] = now
	if len(q.order) > mostSound {
		delete(q.sound, q.order[0])
		q.order = q.order[1:]
	}
	if r := q.records[content]; r != nil {
		q.learnt(now, content, r)
		q.judge(now)
	}
}

// Count returns the number of contents that are held.
func (q *Quarantiner) Count() int {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, until := range q.held {
		if until.After(now) {
			n++
		}
	}
	return n
}

// record returns a content's record, and makes one if there is none; q.mu is held.
func (q *Quarantiner) record(content garnetworks.ContentDigest) *record {
	r := q.records[content]
	if r == nil {
		q.makeRoom()
		r = &record{runs: make(map[garnetworks.Incarnation]run)}
		q.records[content] = r
	}
	return r
}

// makeRoom forgets a record if there are as many as may be (Z7); q.mu is held.
func (q *Quarantiner) makeRoom() {
	if len(q.records) < MostRecords {
		return
	}
	least := slices.MinFunc(slices.Collect(maps.Keys(q.records)), func(a, b garnetworks.ContentDigest) int {
		x, y := q.records[a], q.records[b]
		return cmp.Or(cmp.Compare(len(x.runs), len(y.runs)), x.changed.Compare(y.changed), cmp.Compare(a, b))
	})
	delete(q.records, least)
}

// learnt takes that something new is known of a content, before it is judged; q.mu is held.
func (q *Quarantiner) learnt(now time.Time, content garnetworks.ContentDigest, r *record) {
	if at := q.sound[content]; at.After(r.answered) && now.Sub(at) < SoundTime {
		r.answered = at
	}
	r.changed = now
	if r.lasting() {
		signal(q.asking)
		signal(q.storing)
	}
}

// judge decides anew what is held (Z3); q.mu is held.
func (q *Quarantiner) judge(now time.Time) {
	close(q.news)
	q.news = make(chan struct{})
	q.summed = false
	var suspects []suspect
	for content, r := range q.records {
		if len(r.runs) < MostEnds {
			continue
		}
		if ends := r.lives(garnetworks.CrashConnectionRefused); len(ends) >= MostEnds {
			suspects = append(suspects, suspect{content, ends})
		}
	}
	held := make(map[garnetworks.ContentDigest]time.Time)
	for _, content := range blame(suspects) {
		r := q.records[content]
		ends := r.lives(garnetworks.CrashConnectionRefused)
		held[content] = r.last().Add(hold(len(ends)))
		if held[content].After(now) && !q.held[content].Equal(held[content]) {
			q.tell(garnetworks.EventCallQuarantined, fmt.Sprintf("content %s is held for %s: %d servers ended under it, among them %s", content, held[content].Sub(now).Round(time.Second), len(ends), ends[len(ends)-1].Instance))
		}
	}
	for content, until := range q.held {
		if _, still := held[content]; !still && until.After(now) {
			q.tell(garnetworks.EventCallReleased, fmt.Sprintf("content %s is no longer held: a server answered it, or another one explains the ends", content))
		}
	}
	q.held = held
}

func (q *Quarantiner) tell(kind garnetworks.EventKind, detail string) {
	if q.options.Recorder != nil {
		q.options.Recorder.Record(garnetworks.Event{Kind: kind, Detail: detail})
	}
}

// Merge implements garnetworks.ContentRecordStore.
func (q *Quarantiner) Merge(records []garnetworks.ContentRecord) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	news := false
	for i := range records {
		news = q.merge(now, &records[i]) || news
	}
	if news {
		q.judge(now)
	}
}

// merge takes another node's record (Z5), and reports whether it tells anything new; q.mu
// is held.
func (q *Quarantiner) merge(now time.Time, told *garnetworks.ContentRecord) bool {
	age := func(ms int64) time.Time { return now.Add(-time.Duration(max(0, ms)) * time.Millisecond) }
	news := false
	r := q.records[told.Digest]
	if r == nil && len(told.Runs) == 0 {
		return false
	}
	if r == nil {
		r = q.record(told.Digest)
	}
	for i := range told.Runs {
		x := &told.Runs[i]
		news = r.join(x.Incarnation(), age(x.AgeMS), x.State) || news
	}
	// Ages grow on the way by some milliseconds, which is no news.
	const margin = time.Second
	if told.LastCompletedAgeMS >= 0 && age(told.LastCompletedAgeMS).Sub(r.answered) > margin {
		r.answered = age(told.LastCompletedAgeMS)
		news = true
	}
	if r.until().Before(now) {
		delete(q.records, told.Digest)
		q.summed = false
		return false
	}
	if news {
		q.learnt(now, told.Digest, r)
	}
	return news
}

// Recent implements garnetworks.ContentRecordStore.
func (q *Quarantiner) Recent() []garnetworks.ContentRecord {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.told(now, q.chosen(mostTold, func(r *record) bool { return now.Sub(r.changed) < recentTime }))
}

// Retained implements garnetworks.ContentRecordStore.
func (q *Quarantiner) Retained() []garnetworks.ContentRecord {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.told(time.Now(), q.lasting())
}

// lasting returns the contents whose records last; q.mu is held.
func (q *Quarantiner) lasting() []garnetworks.ContentDigest {
	return q.chosen(MostStored, (*record).lasting)
}

// chosen returns the contents of which something holds, those with the most runs first;
// q.mu is held. The order is the same at all nodes that know the same, so that they leave
// the same ones out.
func (q *Quarantiner) chosen(most int, holds func(*record) bool) []garnetworks.ContentDigest {
	var list []garnetworks.ContentDigest
	for content, r := range q.records {
		if holds(r) {
			list = append(list, content)
		}
	}
	slices.SortFunc(list, func(a, b garnetworks.ContentDigest) int {
		return cmp.Or(cmp.Compare(len(q.records[b].runs), len(q.records[a].runs)), cmp.Compare(a, b))
	})
	return list[:min(len(list), most)]
}

// told returns the records of contents; q.mu is held.
func (q *Quarantiner) told(now time.Time, contents []garnetworks.ContentDigest) []garnetworks.ContentRecord {
	var list []garnetworks.ContentRecord
	for _, content := range contents {
		list = append(list, q.records[content].tell(content, now))
	}
	return list
}

// Checksum implements garnetworks.ContentRecordStore.
func (q *Quarantiner) Checksum() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.summed {
		q.sum, q.summed = 0, true
		for _, content := range q.lasting() {
			q.sum ^= q.records[content].sum(content)
		}
	}
	return q.sum
}

// forget drops what is no longer needed (Z7).
func (q *Quarantiner) forget() {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	before := len(q.records)
	maps.DeleteFunc(q.records, func(_ garnetworks.ContentDigest, r *record) bool { return r.until().Before(now) })
	maps.DeleteFunc(q.stored, func(content garnetworks.ContentDigest, _ uint64) bool { return q.records[content] == nil })
	if len(q.records) != before {
		q.judge(now)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
