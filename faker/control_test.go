package faker

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Guards against a view's fault that affects callers outside the view, and against watches
// that stay open after their view or the object API goes down.
func TestObjectsViewFaultIsolation(t *testing.T) {
	tests := map[string]func(o *Objects, v *ObjectsView){
		"view": func(_ *Objects, v *ObjectsView) { v.SetFaults(FaultPlan{Down: true}) },
		"base": func(o *Objects, _ *ObjectsView) { o.SetFaults(FaultPlan{Down: true}) },
	}
	for name, cut := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := NewObjects(ObjectsOptions{})
				v := o.View()
				start := time.Now()
				time.AfterFunc(time.Second, func() { cut(o, v) })
				_, _, err := v.Watch(t.Context(), "", 0, time.Hour)
				if took := time.Since(start); took != time.Second || !garnetworks.IsKind(err, garnetworks.KindObjectAPIDown) {
					t.Errorf("the watch ended after %v with error %v", took, err)
				}
				_, err = o.Put(t.Context(), "key", nil, 0)
				if (err == nil) != (name == "view") {
					t.Errorf("put elsewhere: got error %v", err)
				}
			})
		})
	}
}

func TestControl(t *testing.T) {
	f := NewFleet(nil, nil)
	defer f.Close()
	e := f.Add(EngineSpec{ListedInstance: garnetworks.ListedInstance{ID: "e"}, On: true})
	objects := NewObjects(ObjectsOptions{})
	ledger := NewService("ledger", 0)
	ledger.countExecution(&garnetworks.ServiceCall{IdempotencyKey: "visit-7"})
	services := map[string]*Service{"ledger": ledger}
	s, err := ServeControl(&Control{Targets: map[string]FaultTarget{"e": e, "objects": objects}, Fleet: f, Objects: objects, Services: services})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	send := func(method, path, body string, want int) []byte {
		t.Helper()
		request, err := http.NewRequestWithContext(t.Context(), method, s.URL()+path, bytes.NewBufferString(body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		var answer bytes.Buffer
		if _, err := answer.ReadFrom(response.Body); err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != want {
			t.Errorf("%s %s: got status %d and %s, want %d", method, path, response.StatusCode, &answer, want)
		}
		return answer.Bytes()
	}
	send(http.MethodPut, "/faults/objects", `{"late-by-ms": 1500, "late-answers": 2, "methods": ["put"]}`, http.StatusOK)
	if got := objects.CurrentFaults(); got.LateBy != 1500*time.Millisecond || got.LateAnswers != 2 || len(got.Methods) != 1 {
		t.Errorf("got plan %+v", got)
	}
	send(http.MethodPut, "/faults/objects", `{"late-by": 1500}`, http.StatusBadRequest)
	send(http.MethodPut, "/faults/nobody", `{}`, http.StatusNotFound)
	send(http.MethodPost, "/faults/e/silence", "", http.StatusOK)
	send(http.MethodPost, "/engines/e/restart", "", http.StatusOK)
	send(http.MethodPost, "/engines/e/dance", "", http.StatusNotFound)
	send(http.MethodPost, "/engines/e/slow-down?factor=0", "", http.StatusBadRequest)
	send(http.MethodPost, "/engines/e/slow-down?factor=2", "", http.StatusOK)
	if got := string(send(http.MethodGet, "/services/ledger/keys", "", http.StatusOK)); got != `{"visit-7":1}` {
		t.Errorf("got executions %s, want one of visit-7", got)
	}
	send(http.MethodGet, "/services/nobody/keys", "", http.StatusNotFound)
	var state StateBody
	if err := json.Unmarshal(send(http.MethodGet, "/state", "", http.StatusOK), &state); err != nil {
		t.Fatal(err)
	}
	if orders, ok := state.Orders["e"]; !ok || orders != 0 {
		t.Errorf("got orders %v, want none of e", state.Orders)
	}
	if len(state.Engines) != 1 || state.Engines[0].Incarnation != 2 {
		t.Errorf("got state %+v, want one engine that has restarted", state)
	}
}
