package exchanger

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

// contents returns the records of calls for a message, and their sum (X5).
func (e *Exchanger) contents() ([]garnetworks.ContentRecord, uint64) {
	if e.options.Contents == nil {
		return nil, 0
	}
	sum := e.options.Contents.Sum()
	if e.takeAll(time.Now()) {
		return e.options.Contents.Lasting(), sum
	}
	return e.options.Contents.Recent(), sum
}

// takeAll reports whether the next message shall bring all records that last.
func (e *Exchanger) takeAll(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.differs || now.Sub(e.allAt) < allEvery {
		return false
	}
	e.differs, e.allAt = false, now
	return true
}

// takeContents joins the records of another node.
func (e *Exchanger) takeContents(records []garnetworks.ContentRecord, sum uint64) {
	if e.options.Contents == nil {
		return
	}
	e.options.Contents.Merge(records)
	if e.options.Contents.Sum() == sum {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.differs = true
}

// Reads reports whether the node is the one of its cell that reads for the others, or
// hears of none: it exchanged for the cell within ReportAge, or had no answer for
// StaleAfter.
func (e *Exchanger) Reads() bool {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.led) < ReportAge || now.Sub(e.answered) > StaleAfter
}
