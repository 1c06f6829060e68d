package messenger

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
)

// Names that certificates carry as DNS names, so that they fit whatever IP
// number a replaced instance gets.
const (
	// NodeName is in the certificates of entry nodes.
	NodeName = "node.garnetworks"
	// OperatorName is in the certificates of operators.
	OperatorName = "operator.garnetworks"
)

// ReloadInterval is the time between two looks at the certificate files.
const ReloadInterval = 10 * time.Second

// Files are the paths of PEM files for mutual TLS.
type Files struct {
	Certificate string
	Key         string
	// Authorities verify the other side.
	Authorities string
}

// Keys hold the certificate and the authorities that are in use now.
type Keys struct {
	files   Files
	current atomic.Pointer[keyMaterial]
}

// keyMaterial is the content of the files at one time.
type keyMaterial struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	// states identifies the files' state, so that unchanged ones are not read.
	states [3]fileState
}

type fileState struct {
	size     int64
	modified time.Time
}

// LoadKeys reads the files.
func LoadKeys(files Files) (*Keys, error) {
	k := &Keys{files: files}
	if _, err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Run reloads the files when they change, until ctx ends. A file that can't be
// used is reported through log, and the keys in use stay: half-written files
// during a rotation must not cut a node off.
func (k *Keys) Run(ctx context.Context, log func(error)) {
	ticker := time.NewTicker(ReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, err := k.Reload(); err != nil {
			log(err)
		}
	}
}

// Reload reads the files if they changed, and reports whether they did.
func (k *Keys) Reload() (bool, error) {
	states, err := k.statFiles()
	if err != nil {
		return false, err
	}
	if now := k.current.Load(); now != nil && now.states == states {
		return false, nil
	}
	certificate, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return false, keysError(err, "certificate and key")
	}
	text, err := os.ReadFile(k.files.Authorities)
	if err != nil {
		return false, keysError(err, "authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return false, garnetworks.Errorf(garnetworks.KindInvalidSettings, "no certificate in %s", k.files.Authorities)
	}
	k.current.Store(&keyMaterial{certificate: certificate, authorities: pool, states: states})
	return true, nil
}

func keysError(err error, what string) error {
	return garnetworks.WrapError(garnetworks.KindInvalidSettings, err, "can't read "+what)
}

func (k *Keys) statFiles() ([3]fileState, error) {
	var states [3]fileState
	for i, path := range []string{k.files.Certificate, k.files.Key, k.files.Authorities} {
		info, err := os.Stat(path)
		if err != nil {
			return states, keysError(err, path)
		}
		states[i] = fileState{size: info.Size(), modified: info.ModTime()}
	}
	return states, nil
}

// Expires is the end of the certificate in use.
func (k *Keys) Expires() time.Time {
	leaf := k.current.Load().certificate.Leaf
	if leaf == nil {
		return time.Time{}
	}
	return leaf.NotAfter
}

// serverConfig verifies that the other side has a certificate of the
// authorities; which methods it may call is decided by its name.
func (k *Keys) serverConfig() *tls.Config {
	l := k.current.Load()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{l.certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              l.authorities,
		SessionTicketsDisabled: true,
	}
}

// clientConfig verifies that the other side is a node.
func (k *Keys) clientConfig() *tls.Config {
	l := k.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{l.certificate},
		RootCAs:      l.authorities,
		ServerName:   NodeName,
	}
}

// role is what a certificate entitles to.
type role string

const (
	roleNode     role = "node"
	roleOperator role = "operator"
)

// roleOf returns the role that the other side's certificate names.
func roleOf(state tls.ConnectionState) (role, error) {
	if len(state.PeerCertificates) == 0 {
		return "", errors.New("no certificate")
	}
	leaf := state.PeerCertificates[0]
	switch {
	case leaf.VerifyHostname(NodeName) == nil:
		return roleNode, nil
	case leaf.VerifyHostname(OperatorName) == nil:
		return roleOperator, nil
	}
	return "", errors.Errorf("certificate %q names neither %s nor %s", leaf.Subject.CommonName, NodeName, OperatorName)
}

type roleKey struct{}

func withRole(ctx context.Context, r role) context.Context {
	return context.WithValue(ctx, roleKey{}, r)
}

func roleFrom(ctx context.Context) role {
	r, _ := ctx.Value(roleKey{}).(role)
	return r
}
