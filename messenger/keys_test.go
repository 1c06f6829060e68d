package messenger

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
)

// authority is a certificate authority for tests.
type authority struct {
	t           testing.TB
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(t testing.TB) *authority {
	a := &authority{t: t}
	a.key = must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der := must(x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key))
	a.certificate = must(x509.ParseCertificate(der))
	return a
}

// issue writes a certificate for name, its key and the CA certificate into dir.
func (a *authority) issue(dir, name string) Files {
	a.serial++
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	template := &x509.Certificate{
		SerialNumber: big.NewInt(100 + a.serial), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der := must(x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key))
	files := Files{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authorities: filepath.Join(dir, "ca.pem")}
	write := func(path, kind string, der []byte) {
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			a.t.Fatal(err)
		}
	}
	write(files.Certificate, "CERTIFICATE", der)
	write(files.Key, "PRIVATE KEY", must(x509.MarshalPKCS8PrivateKey(key)))
	write(files.Authorities, "CERTIFICATE", a.certificate.Raw)
	return files
}

func (a *authority) keys(name string) *Keys {
	return must(LoadKeys(a.issue(a.t.TempDir(), name)))
}

func TestCertificates(t *testing.T) {
	site, foreign := newAuthority(t), newAuthority(t)
	address := serveTest(t, ServerOptions{Handler: &handler{}, Keys: site.keys(NodeName)})
	heartbeat := func(c *Client) error {
		_, err := c.Heartbeat(t.Context(), address, &garnetworks.HeartbeatRequest{})
		return err
	}
	events := func(c *Client) error {
		_, err := c.Events(t.Context(), address, &garnetworks.EventsRequest{})
		return err
	}
	tests := map[string]struct {
		keys *Keys
		call func(*Client) error
		want garnetworks.Kind
	}{
		"node":                      {site.keys(NodeName), heartbeat, ""},
		"operator reads events":     {site.keys(OperatorName), events, ""},
		"operator as a node":        {site.keys(OperatorName), heartbeat, garnetworks.KindForbidden},
		"certificate of other name": {site.keys("billing.example"), events, garnetworks.KindResponseLost},
		"foreign authority":         {foreign.keys(NodeName), heartbeat, garnetworks.KindUnreachable},
		"no certificate":            {nil, heartbeat, garnetworks.KindResponseLost},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestClient(t, ClientOptions{Keys: test.keys})
			if got := garnetworks.KindOf(test.call(c)); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// A certificate rotation must take effect without a restart, and a half-written file in
// between must not make the node unreachable.
func TestKeysAreReloaded(t *testing.T) {
	before, after := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	files := before.issue(dir, NodeName)
	keys := must(LoadKeys(files))
	address := serveTest(t, ServerOptions{Handler: &handler{}, Keys: keys})
	call := func(k *Keys) error {
		_, err := newTestClient(t, ClientOptions{Keys: k}).Heartbeat(t.Context(), address, &garnetworks.HeartbeatRequest{})
		return err
	}
	if err := call(before.keys(NodeName)); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(files.Key, []byte("-----BEGIN PRIV"), 0o600); err != nil {
		t.Fatal(err)
	}
	if changed, err := keys.Reload(); changed || !garnetworks.IsKind(err, garnetworks.KindInvalidSettings) {
		t.Errorf("a half-written key gave %v, %v", changed, err)
	}
	if err := call(before.keys(NodeName)); err != nil {
		t.Errorf("a half-written key cut the node off: %v", err)
	}
	after.issue(dir, NodeName)
	if changed, err := keys.Reload(); !changed || err != nil {
		t.Fatalf("the new files gave %v, %v", changed, err)
	}
	if err := call(after.keys(NodeName)); err != nil {
		t.Errorf("the new authority is refused: %v", err)
	}
	if err := call(before.keys(NodeName)); err == nil {
		t.Error("the old authority is still accepted")
	}
}
