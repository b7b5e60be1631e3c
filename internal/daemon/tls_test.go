package daemon_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/daemon"
	"oleanderramp/internal/settings"
)

// authority is a certificate authority that stores its certificates in a folder.
type authority struct {
	c           *qt.C
	folder      string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(c *qt.C) *authority {
	a := &authority{c: c, folder: c.TempDir()}
	template := a.template("authority")
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	a.key = a.newKey()
	a.certificate = a.sign("ca", template, template, a.key)
	return a
}

func (a *authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.c.Assert(err, qt.IsNil)
	return key
}

func (*authority) template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// sign writes NAME.pem and NAME.key for the key, signed by the parent.
func (a *authority) sign(name string, template, parent *x509.Certificate, key *ecdsa.PrivateKey) *x509.Certificate {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, a.key)
	a.c.Assert(err, qt.IsNil)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	a.c.Assert(err, qt.IsNil)
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "PRIVATE KEY", private)
	certificate, err := x509.ParseCertificate(der)
	a.c.Assert(err, qt.IsNil)
	return certificate
}

func (a *authority) write(name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	a.c.Assert(os.WriteFile(filepath.Join(a.folder, name), data, 0o600), qt.IsNil)
}

// issue creates a certificate for the IP and returns its files. If mutual is
// true, the other side needs a certificate too.
func (a *authority) issue(ip string, mutual bool) *settings.KeyPair {
	template := a.template(ip)
	template.IPAddresses = []net.IP{net.ParseIP(ip)}
	a.sign(ip, template, a.certificate, a.newKey())
	pair := &settings.KeyPair{CertFile: filepath.Join(a.folder, ip+".pem"), KeyFile: filepath.Join(a.folder, ip+".key")}
	if mutual {
		pair.CAFile = filepath.Join(a.folder, "ca.pem")
	}
	return pair
}

// clientConfig returns a client configuration that trusts the authority and
// presents the certificate of pair, if pair is not nil.
func (a *authority) clientConfig(pair *settings.KeyPair) *tls.Config {
	cfg := &tls.Config{RootCAs: x509.NewCertPool(), MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"}}
	cfg.RootCAs.AddCert(a.certificate)
	if pair != nil {
		certificate, err := tls.LoadX509KeyPair(pair.CertFile, pair.KeyFile)
		a.c.Assert(err, qt.IsNil)
		cfg.Certificates = []tls.Certificate{certificate}
	}
	return cfg
}

func (a *authority) client(pair *settings.KeyPair) *http.Client {
	transport := &http.Transport{TLSClientConfig: a.clientConfig(pair), ForceAttemptHTTP2: true}
	a.c.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: testTimeout}
}

// newTLSFleet returns the settings of two daemons with TLS on all listeners. The
// first daemon has the only replica.
func newTLSFleet(tb testing.TB, a *authority) (first, second *settings.Settings) {
	first, second = newSettings(tb), newSettings(tb)
	ip := strings.TrimSuffix(first.Listen.Callers, ":9400")
	other := strings.TrimSuffix(ip, "1") + "2"
	second.Host, second.Roles = "dev-2", []settings.Role{settings.RoleRouter, settings.RoleScheduler}
	second.Listen = settings.Listen{Callers: other + ":9400", Endpoints: other + ":9410", Peers: other + ":9420", Operators: other + ":9430"}
	hosts := []settings.ControlHost{first.ControlHosts[0], second.ControlHosts[0]}
	hosts[1].Host, hosts[1].Address, hosts[1].Roles = second.Host, second.Listen.Peers, second.Roles[1:]
	for _, s := range []*settings.Settings{first, second} {
		own := strings.TrimSuffix(s.Listen.Callers, ":9400")
		s.ControlHosts = hosts
		s.TLS = settings.TLS{
			Callers: a.issue(own, false), Endpoints: a.issue(own, false), Operators: a.issue(own, true), Peers: a.issue(own, true),
		}
	}
	return first, second
}

func TestTLS(t *testing.T) {
	c := qt.New(t)
	a, otherAuthority := newAuthority(c), newAuthority(c)
	first, second := newTLSFleet(t, a)
	startDaemon(t, first)
	d, err := daemon.New(second, daemon.Options{Log: discardLogger()})
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(d.Close(), qt.IsNil) }()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c.Assert(d.WaitReady(ctx), qt.IsNil)

	c.Run("the whole path", func(c *qt.C) {
		engine := httptest.NewServer(&endlessEngine{})
		defer engine.Close()
		client := a.client(nil)
		announce(c, client, "https://"+first.Listen.Endpoints, engine.Listener.Addr().String())
		c.Check(sendChatWith(client, "https://"+second.Listen.Callers), qt.IsNil)
	})
	certificates := map[string]*settings.KeyPair{"none": nil, "one of another authority": otherAuthority.issue("127.0.0.1", true)}
	for name, pair := range certificates {
		c.Run("certificate: "+name, func(c *qt.C) {
			for _, address := range []string{first.Listen.Peers, first.Listen.Operators, second.Listen.Peers} {
				c.Check(handshake(c, address, a.clientConfig(pair)), qt.ErrorMatches, ".*(certificate required|unknown certificate authority|bad certificate).*")
			}
		})
	}
	c.Run("certificate: the authority's", func(c *qt.C) {
		pair := a.issue("127.0.0.1", true)
		c.Check(handshake(c, first.Listen.Peers, a.clientConfig(pair)), qt.IsNil)
		response, err := a.client(pair).Get("https://" + first.Listen.Operators + "/healthz")
		c.Assert(err, qt.IsNil)
		c.Check(response.StatusCode, qt.Equals, 200)
		c.Check(response.Body.Close(), qt.IsNil)
	})
	c.Run("another address", func(c *qt.C) {
		cfg := a.clientConfig(a.issue("127.0.0.1", true))
		cfg.ServerName = "127.0.0.9"
		c.Check(handshake(c, first.Listen.Peers, cfg), qt.ErrorMatches, ".*certificate is valid for .*, not 127.0.0.9")
	})
	c.Run("plain TCP", func(c *qt.C) {
		for _, address := range []string{first.Listen.Callers, first.Listen.Endpoints, first.Listen.Operators} {
			response, err := http.Get("http://" + address + "/healthz")
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, 400)
			c.Check(response.Body.Close(), qt.IsNil)
		}
		conn := dial(c, first.Listen.Peers)
		_, err := io.WriteString(conn, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00")
		c.Assert(err, qt.IsNil)
		got, _ := io.ReadAll(conn) // An aborted connection may end with a reset.
		const alert = 0x15
		c.Check(len(got) == 0 || got[0] == alert, qt.IsTrue, qt.Commentf("%q", got))
	})
}

// handshake opens a TLS connection and waits for the server's first bytes of
// HTTP/2, because a server may refuse a certificate only after the handshake.
func handshake(c *qt.C, address string, cfg *tls.Config) error {
	conn := tls.Client(dial(c, address), withServerName(cfg, address))
	if err := conn.Handshake(); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

func withServerName(cfg *tls.Config, address string) *tls.Config {
	if cfg.ServerName == "" {
		cfg.ServerName, _, _ = net.SplitHostPort(address)
	}
	return cfg
}

// TestTLSRefusesBadFiles checks that a daemon does not start if a certificate,
// key or authority file of its settings is missing or invalid.
func TestTLSRefusesBadFiles(t *testing.T) {
	c := qt.New(t)
	a := newAuthority(c)
	good := a.issue("127.0.0.1", true)
	empty := filepath.Join(a.folder, "empty")
	c.Assert(os.WriteFile(empty, nil, 0o600), qt.IsNil)
	for i, pair := range []settings.KeyPair{
		{CertFile: "none", KeyFile: good.KeyFile}, {CertFile: good.CertFile, KeyFile: filepath.Join(a.folder, "ca.key")},
		{CertFile: good.CertFile, KeyFile: good.KeyFile, CAFile: empty}, {CertFile: good.CertFile, KeyFile: good.KeyFile, CAFile: "none"},
	} {
		for _, listener := range []string{"callers", "peers"} {
			s := newSettings(t)
			if listener == "callers" {
				s.TLS.Callers = &pair
			} else {
				s.TLS.Peers = &pair
			}
			_, err := daemon.New(s, daemon.Options{Bootstrap: true, Log: discardLogger()})
			c.Check(err, qt.ErrorMatches, ".*load (certificate|authorities).*", qt.Commentf("%s %d", listener, i))
		}
	}
}
