package checker

import (
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks/faker/impersonator"
)

// EarlyAnswers describes long requests whose server answers before it has read them.
type EarlyAnswers struct {
	// Prefix is the number of bytes before the first request of a connection.
	Prefix int64
	// Whole is an answer with a length, Unframed one that ends with its connection.
	Whole, Unframed string
	// AcceptsUnframed says that an answer whose end is an orderly close of its connection is accepted,
	// MayLoseUnframed that it may be lost if a reset follows the close.
	AcceptsUnframed, MayLoseUnframed bool
	// NewSender returns a function that sends a request to the address and reads the answer to its end. The
	// request is longer than the buffers of a connection.
	NewSender func(t *testing.T, address string) func() error
}

// earlyAnswerTries is how often each case is played, as the order of two goroutines decides what happens.
const earlyAnswerTries = 10

// Run plays the ends of a connection on new and on kept connections. An answer must count as whole only after
// an orderly close.
func (c EarlyAnswers) Run(t *testing.T) {
	t.Helper()
	orderly := []bool{c.AcceptsUnframed}
	if c.MayLoseUnframed {
		orderly = []bool{true, false}
	}
	ends := map[impersonator.RawEnd][]bool{
		impersonator.RawReset:      {false},
		impersonator.RawReadReset:  {false},
		impersonator.RawCloseReset: orderly,
		impersonator.RawCloseRead:  {c.AcceptsUnframed},
	}
	for end, allowed := range ends {
		for _, kept := range []bool{false, true} {
			for _, delay := range []time.Duration{0, 2 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %s, kept %t", end, delay, kept), func(t *testing.T) {
					for range earlyAnswerTries {
						c.play(t, impersonator.RawAnswer{Text: c.Unframed, End: end, Delay: delay}, kept, allowed)
					}
				})
			}
		}
	}
}

func (c EarlyAnswers) play(t *testing.T, answer impersonator.RawAnswer, kept bool, allowed []bool) {
	t.Helper()
	first := ""
	if kept {
		first = c.Whole
	}
	if err := exchangeRaw(t, c.Prefix, c.NewSender, first, answer); !slices.Contains(allowed, err == nil) {
		t.Errorf("the answer counts as whole: %t, allowed %t (%v)", err == nil, allowed, err)
	}
}

// exchangeRaw returns the error of a request that a server answers with the given bytes. If first isn't empty,
// the server answers an earlier request with it and keeps that connection.
func exchangeRaw(t *testing.T, prefix int64, newSender func(t *testing.T, address string) func() error, first string, answer impersonator.RawAnswer) error {
	t.Helper()
	var requests atomic.Int32
	server := &impersonator.RawServer{Prefix: prefix, Answer: func(*http.Request, int) impersonator.RawAnswer {
		if requests.Add(1) == 1 && first != "" {
			return impersonator.RawAnswer{Text: first}
		}
		return answer
	}}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	send := newSender(t, server.Address())
	if first != "" {
		if err := send(); err != nil {
			t.Fatalf("a sound answer: %v", err)
		}
	}
	return send()
}
