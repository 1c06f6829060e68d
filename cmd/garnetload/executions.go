package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
)

// outcomeNotRun is the outcome of a call that had no effect.
const outcomeNotRun = string(garnetworks.OutcomeNotRun)

// keyCalls counts the calls with one idempotency key by outcome.
type keyCalls struct {
	completed, notRun, other int
}

func (k *keyCalls) add(outcome string) {
	switch outcome {
	case outcomeCompleted:
		k.completed++
	case outcomeNotRun, outcomeNotSent:
		k.notRun++
	default:
		k.other++
	}
}

// executionsBody compares the outcomes of keyed calls with their executions by the service.
// The last three fields are 0 if the site reports outcomes correctly and runs no key twice.
type executionsBody struct {
	Keys                 int `json:"keys"`
	NeverRan             int `json:"never-ran"`
	RanOnce              int `json:"ran-once"`
	RanAgain             int `json:"ran-more-than-once"`
	NotRunButRan         int `json:"not-run-but-ran"`
	CompletedButNeverRan int `json:"completed-but-never-ran"`
}

// compareExecutions does no I/O. A key must not have run if all its calls ended with not-run
// or were not sent; a call with any other outcome may have run.
func compareExecutions(calls map[string]*keyCalls, ran map[string]int) executionsBody {
	var b executionsBody
	for key, k := range calls {
		b.Keys++
		switch times := ran[key]; {
		case times == 0:
			b.NeverRan++
		case times == 1:
			b.RanOnce++
		default:
			b.RanAgain++
		}
		if ran[key] > 0 && k.completed+k.other == 0 {
			b.NotRunButRan++
		}
		if ran[key] == 0 && k.completed > 0 {
			b.CompletedButNeverRan++
		}
	}
	return b
}

// fetchExecutions asks the control path of the simulated site how often the service ran each
// key.
func (s *sender) fetchExecutions(ctx context.Context) (map[string]int, error) {
	service, _, _ := strings.Cut(s.Service, "/")
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Executions+"/services/"+service+"/keys", nil)
	if err != nil {
		return nil, err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "the stand-ins' control path")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the stand-ins' control path has no executions of %s: status %d", service, response.StatusCode)
	}
	var ran map[string]int
	if err := json.NewDecoder(response.Body).Decode(&ran); err != nil {
		return nil, errors.Wrap(err, "the executions")
	}
	return ran, nil
}

func writeExecutions(w io.Writer, b executionsBody) {
	_, _ = fmt.Fprintf(w, "\nkeys of service calls\t%d\t\n", b.Keys)
	rows := []struct {
		name  string
		count int
	}{
		{"never ran", b.NeverRan},
		{"ran once", b.RanOnce},
		{"ran more than once", b.RanAgain},
		{"said to be not run, but ran", b.NotRunButRan},
		{"said to be completed, but never ran", b.CompletedButNeverRan},
	}
	for _, row := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%d\t\n", row.name, row.count)
	}
}
