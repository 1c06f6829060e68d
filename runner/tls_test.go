package runner

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/configurer"
	"github.com/garnetworks/garnetworks/messenger"
)

// testAuthority issues certificates into its own directory.
type testAuthority struct {
	t           *testing.T
	directory   string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newTestAuthority(t *testing.T) *testAuthority {
	t.Helper()
	a := &testAuthority{t: t, directory: t.TempDir(), key: newTestKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "site authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.certificate = a.sign(template, template, &a.key.PublicKey)
	a.write("authorities.pem", "CERTIFICATE", a.certificate.Raw)
	return a
}

func newTestKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *testAuthority) sign(template, parent *x509.Certificate, key *ecdsa.PublicKey) *x509.Certificate {
	a.t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return certificate
}

func (a *testAuthority) write(name, kind string, der []byte) string {
	a.t.Helper()
	path := filepath.Join(a.directory, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// issue creates a certificate for the DNS name.
func (a *testAuthority) issue(file, name string) configurer.TLSFiles {
	a.t.Helper()
	key := newTestKey(a.t)
	certificate := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: file}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}, a.certificate, &key.PublicKey)
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return configurer.TLSFiles{
		Certificate: a.write(file+".pem", "CERTIFICATE", certificate.Raw),
		Key:         a.write(file+".key", "PRIVATE KEY", secret),
		Authorities: filepath.Join(a.directory, "authorities.pem"),
	}
}

// clientWith returns a client that presents the certificate.
func clientWith(t *testing.T, files configurer.TLSFiles) *messenger.Client {
	t.Helper()
	keys, err := messenger.LoadKeys(messenger.Files(files))
	if err != nil {
		t.Fatal(err)
	}
	client := messenger.NewClient(messenger.ClientOptions{Keys: keys})
	t.Cleanup(client.Close)
	return client
}

// TestSiteUnderMutualTLS checks that nodes with certificates serve calls, that clients
// without a valid one are refused, and that operators can't call node methods.
func TestSiteUnderMutualTLS(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a whole site")
	}
	site, foreign := newTestAuthority(t), newTestAuthority(t)
	s := newTestSite(t, func(settings *configurer.Settings) {
		settings.PeerTLS = site.issue(string(settings.Node), messenger.NodeName)
	})
	s.client = clientWith(t, site.issue("operator", messenger.OperatorName))
	s.commit("zone-a", "commit-1", 0, s.manifest())
	s.eventually("each zone's node answers a completion", func() string {
		for _, zone := range zones {
			a, err := s.call(zone, "POST", "/v1/completions", "", completion)
			if err != nil {
				return err.Error()
			}
			if a.status != http.StatusOK {
				return fmt.Sprintf("%s: %+v", zone, a)
			}
		}
		return ""
	})

	open := messenger.NewClient(messenger.ClientOptions{})
	t.Cleanup(open.Close)
	// The foreign client trusts the site's authority, so that it is the node that refuses.
	stolen := foreign.issue("node", messenger.NodeName)
	stolen.Authorities = filepath.Join(site.directory, "authorities.pem")
	refused := []garnetworks.Kind{garnetworks.KindUnreachable, garnetworks.KindResponseLost}
	clients := map[string]struct {
		client *messenger.Client
		// status and node are the expected error kinds of methods for operators and of
		// methods for nodes; nil means success.
		status, node []garnetworks.Kind
	}{
		"operator":                       {s.client, nil, []garnetworks.Kind{garnetworks.KindForbidden}},
		"node":                           {clientWith(t, site.issue("node", messenger.NodeName)), nil, nil},
		"no certificate":                 {open, refused, refused},
		"certificate of another name":    {clientWith(t, site.issue("other", "billing.example")), refused, refused},
		"certificate of another CA":      {clientWith(t, stolen), refused, refused},
		"trusts another CA and is of it": {clientWith(t, foreign.issue("operator", messenger.OperatorName)), refused, refused},
	}
	for name, tt := range clients {
		t.Run(name, func(t *testing.T) {
			address := s.nodes["zone-b"].Addresses().Peers
			_, err := tt.client.Status(t.Context(), address, &garnetworks.StatusRequest{})
			checkKind(t, "Status", err, tt.status)
			_, err = tt.client.Progress(t.Context(), address, &garnetworks.ProgressRequest{CommitID: "commit-1"})
			checkKind(t, "Progress", err, tt.status)
			_, err = tt.client.Heartbeat(t.Context(), address, &garnetworks.HeartbeatRequest{})
			checkKind(t, "Heartbeat", err, tt.node)
			_, err = tt.client.Distribute(t.Context(), address, &garnetworks.DistributeRequest{})
			checkKind(t, "Distribute", err, tt.node)
		})
	}
}

// checkKind fails unless the error is of one of the kinds, or nil if there are none.
func checkKind(t *testing.T, method string, err error, want []garnetworks.Kind) {
	t.Helper()
	if len(want) == 0 && err == nil {
		return
	}
	if len(want) == 0 || !garnetworks.IsKind(err, want...) {
		t.Errorf("%s ended with %v, want one of %v", method, err, want)
	}
}
