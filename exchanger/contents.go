package exchanger

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

// contents returns the records of calls for a message to a node or cell, and their sum (X5).
func (e *Exchanger) recordsFor(peer string) ([]garnetworks.ContentRecord, uint64) {
	if e.options.Contents == nil {
		return nil, 0
	}
	sum := e.options.Contents.Checksum()
	if e.shouldSendAll(time.Now(), peer) {
		return e.options.Contents.Retained(), sum
	}
	return e.options.Contents.Recent(), sum
}

// takeAll reports whether the next message to the peer shall bring all records that last.
//
// Failure: several nodes differ from the first one of their cell, which told all records to
// one of them a second, each time the one that asked first. The others never heard of what
// they had missed. So each peer has its turn.
func (e *Exchanger) shouldSendAll(now time.Time, peer string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	lastFullSync, differs := e.differing[peer]
	if !differs || now.Sub(lastFullSync) < fullSyncInterval {
		return false
	}
	e.differing[peer] = now
	return true
}

// takeContents joins the records of another node or cell.
func (e *Exchanger) mergeRecords(peer string, records []garnetworks.ContentRecord, sum uint64) {
	if e.options.Contents == nil {
		return
	}
	e.options.Contents.Merge(records)
	differs := e.options.Contents.Checksum() != sum
	e.mu.Lock()
	defer e.mu.Unlock()
	if !differs {
		delete(e.differing, peer)
		return
	}
	if len(e.differing) > maxDiffering {
		clear(e.differing)
	}
	if _, known := e.differing[peer]; !known {
		e.differing[peer] = time.Time{}
	}
}

// IsReader reports whether the node is the one of its cell that reads for the others, or
// hears of none: it exchanged for the cell within ReportAge, or had no answer for
// StaleAfter.
func (e *Exchanger) IsReader() bool {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.lastExchangeAsHead) < ReportAge || now.Sub(e.lastResponse) > StaleAfter
}
