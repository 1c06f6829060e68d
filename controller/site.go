package controller

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/granter"
	"github.com/garnetworks/garnetworks/leaser"
)

// SiteOptions configures the site's controller.
type SiteOptions struct {
	Node garnetworks.NodeID
	// Objects and Manifest are required.
	Objects  garnetworks.ObjectAPI
	Manifest garnetworks.ManifestSource
	// Recorder may be nil.
	Recorder garnetworks.Recorder
	// Lease is leaser.Defaults() if zero.
	Lease leaser.Settings
	// Every is the interval between plans; DefaultSiteEvery if 0.
	Every time.Duration
}

// DefaultSiteEvery is the interval between plans of the site's power.
const DefaultSiteEvery = 2 * time.Second

// Site keeps the site's power ledger. Any number of nodes run one; the holder of the lease
// acts. It sends no orders, so conditional writes alone keep two concurrent holders from
// conflicting.
type Site struct {
	options SiteOptions
	lease   *leaser.Lease
	state   granter.SiteState
	term    uint32
}

// NewSite returns a site controller that starts when Run is called.
func NewSite(options SiteOptions) (*Site, error) {
	if options.Node == "" || options.Objects == nil || options.Manifest == nil {
		return nil, garnetworks.Errorf(garnetworks.KindInvalidSettings, "a site controller needs a node, an object API and a manifest source")
	}
	if options.Every == 0 {
		options.Every = DefaultSiteEvery
	}
	lease, err := leaser.New(leaser.Options{
		Self:     options.Node,
		Key:      SiteLeaseKey,
		Objects:  options.Objects,
		Settings: options.Lease,
		Recorder: options.Recorder,
	})
	if err != nil {
		return nil, err
	}
	return &Site{options: options, lease: lease}, nil
}

// Lease returns the site's lease, for status pages and for SetContenders.
func (s *Site) Lease() *leaser.Lease { return s.lease }

// Run contends for the site's lease and keeps the power ledger while holding it, until
// ctx ends.
func (s *Site) Run(ctx context.Context) error {
	leaseCtx, stopLease := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.lease.Run(leaseCtx)
	}()
	s.loop(ctx)
	stopLease()
	<-done
	return nil
}

func (s *Site) loop(ctx context.Context) {
	ticker := time.NewTicker(s.options.Every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.lease.Changed():
		}
		if term := s.lease.Term(time.Now()); term != 0 {
			s.plan(ctx, term)
		}
	}
}

// plan reads the stored objects, computes the next ledger and writes it. Each plan begins
// with a read, so a write whose answer was lost is read back before it is relied on
// (rule G11).
func (s *Site) plan(ctx context.Context, term uint32) {
	manifest, ok := s.options.Manifest.Manifest()
	if !ok {
		return
	}
	if term != s.term {
		s.term, s.state = term, granter.SiteState{}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	in, revision, err := s.read(ctx)
	if err != nil {
		return
	}
	in.Now, in.Term, in.State = time.Now(), term, s.state
	in.Generation, in.Cap = manifest.Generation, manifest.Manifest.Site.PowerCap
	for _, z := range manifest.Manifest.Site.Zones {
		if !z.Excluded {
			in.Zones = append(in.Zones, z.Name)
		}
	}
	out, err := granter.PlanSite(in)
	if garnetworks.IsKind(err, garnetworks.KindStaleToken) {
		s.lease.RaiseFloor(in.Ledger.Term)
	}
	if err != nil {
		return
	}
	s.write(ctx, out, revision)
}

// read reads the ledger before the zones' power statements (rule W1).
func (s *Site) read(ctx context.Context) (granter.SiteInput, garnetworks.Revision, error) {
	in := granter.SiteInput{Powers: map[garnetworks.ZoneID]garnetworks.ZonePower{}}
	object, err := s.options.Objects.Get(ctx, LedgerKey)
	if err == nil {
		err = json.Unmarshal(object.Value, &in.Ledger)
	}
	if err != nil && !garnetworks.IsKind(err, garnetworks.KindNotFound) {
		return in, 0, err
	}
	statements, _, err := s.options.Objects.List(ctx, PowersPrefix)
	if err != nil {
		return in, 0, err
	}
	for _, statement := range statements {
		var power garnetworks.ZonePower
		if err := json.Unmarshal(statement.Value, &power); err != nil {
			return in, 0, garnetworks.WrapError(garnetworks.KindInternal, err, "the object "+statement.Key+" can't be read")
		}
		in.Powers[garnetworks.ZoneID(strings.TrimPrefix(statement.Key, PowersPrefix))] = power
	}
	return in, object.Revision, nil
}

func (s *Site) write(ctx context.Context, out granter.SiteOutput, after garnetworks.Revision) {
	if !out.Changed {
		s.state = out.State
		return
	}
	out.Ledger.WriteID = ulid.Make().String()
	value, err := json.Marshal(out.Ledger)
	if err != nil {
		panic("controller: cannot encode the power ledger: " + err.Error())
	}
	if _, err := s.options.Objects.Put(ctx, LedgerKey, value, after); err != nil {
		return
	}
	s.state = out.State
	for _, event := range out.Events {
		if s.options.Recorder != nil {
			s.options.Recorder.Record(event)
		}
	}
}
