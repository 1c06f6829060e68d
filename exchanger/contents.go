package exchanger

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

// recordsFor returns the content records to send to a node or cell, and their checksum (X5).
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

// shouldSendAll reports whether the next message to the peer contains all retained records.
//
// Failure: with one rate limit for all peers, the peer that asks first each time would get all
// records, and the others none. So the limit is per peer.
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

// mergeRecords merges the records of another node or cell and compares the checksums.
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

// IsReader reports whether the node reads the object API for its cell: it exchanged as head
// within ReportAge, or has received no response for StaleAfter.
func (e *Exchanger) IsReader() bool {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.lastExchangeAsHead) < ReportAge || now.Sub(e.lastResponse) > StaleAfter
}
