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

// DNS names in the certificates. They name a role instead of an address, so that a
// certificate stays valid when an instance's IP address changes.
const (
	// NodeName is the name in the certificates of entry nodes.
	NodeName = "node.garnetworks"
	// OperatorName is the name in the certificates of operators.
	OperatorName = "operator.garnetworks"
)

// ReloadInterval is how often the certificate files are checked for changes.
const ReloadInterval = 10 * time.Second

// Files are the paths of the PEM files for mutual TLS.
type Files struct {
	Certificate string
	Key         string
	// Authorities holds the CA certificates that verify the peer.
	Authorities string
}

// Keys holds the certificate and the CA pool in use, and reloads them from files.
type Keys struct {
	files   Files
	current atomic.Pointer[keyMaterial]
}

// keyMaterial is what was loaded from the files.
type keyMaterial struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	// states lets Reload skip files that did not change.
	states [3]fileState
}

type fileState struct {
	size     int64
	modified time.Time
}

// LoadKeys loads the certificate, its key and the CA certificates from files.
func LoadKeys(files Files) (*Keys, error) {
	k := &Keys{files: files}
	if _, err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Run reloads changed files every ReloadInterval until ctx ends. If a file is invalid,
// such as one half written during a rotation, the error goes to log and the keys in use
// are kept, so that the node stays reachable.
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

// Reload loads the files if any changed, and reports whether it loaded them.
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

// Expires returns when the certificate in use expires; zero if that is unknown.
func (k *Keys) Expires() time.Time {
	leaf := k.current.Load().certificate.Leaf
	if leaf == nil {
		return time.Time{}
	}
	return leaf.NotAfter
}

// serverConfig requires a client certificate signed by the authorities. The role named in
// the certificate decides which methods the client may call.
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

// clientConfig requires that the server's certificate carries NodeName.
func (k *Keys) clientConfig() *tls.Config {
	l := k.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{l.certificate},
		RootCAs:      l.authorities,
		ServerName:   NodeName,
	}
}

// role decides which methods a certificate's holder may call.
type role string

const (
	roleNode     role = "node"
	roleOperator role = "operator"
)

// roleOf returns the role named in the peer's certificate.
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
