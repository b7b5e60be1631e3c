package settings_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/settings"
	"oleanderramp/pkg/finding"
)

func readSettings(c *qt.C) string {
	data, err := os.ReadFile("testdata/settings.json")
	c.Assert(err, qt.IsNil)
	return string(data)
}

func TestParseFillsDefaults(t *testing.T) {
	c := qt.New(t)
	s, err := settings.Parse([]byte(readSettings(c)))
	c.Assert(err, qt.IsNil)
	c.Assert(s.HasRole(settings.RoleReplica), qt.IsTrue)
	c.Assert(s.HasRole(settings.RolePlacement), qt.IsFalse)
	c.Assert(s.Limits.MaxBodyBytes, qt.Equals, int64(4<<20))
	c.Assert(s.Limits.CommitTimeoutMS, qt.Equals, 500)
	c.Assert(s.Log, qt.Equals, settings.Log{Level: "info", Format: "json"})
	var advice finding.List
	s.Advise(&advice)
	c.Assert(advice.Len(), qt.Equals, 0)
}

// Each test case replaces a part of the valid settings.
func TestFindings(t *testing.T) {
	for _, test := range []struct {
		name, old, changed string
		want               []string
	}{
		{"unknown field", `"zone": "maz-1",`, `"zone": "maz-1", "rack": 3,`, []string{`rack: unknown field`}},
		{"unknown role", `["router", "scheduler", "replica"]`, `["router", "scheduler", "replica", "leader"]`, []string{
			`roles[3]: must be "router", "scheduler", "replica" or "placement", not "leader"`}},
		{"duplicate role", `["router", "scheduler", "replica"]`, `["replica", "scheduler", "replica"]`, []string{
			`roles[2]: the role "replica" is listed twice`}},
		{"no data folder", `"data_folder": "data",`, ``, []string{`data_folder: is required for the role "replica"`}},
		{"host name for IP", `"10.0.0.1:7001"`, `"localhost:7001"`, []string{
			`listen.endpoints: must be an IP address and a port such as 10.0.0.1:7001, not "localhost:7001"`}},
		{"no callers", `"callers": "10.0.0.1:7000",`, ``, []string{`listen.callers: is required for the roles of this daemon`}},
		{"duplicate address", `"10.0.0.1:7001"`, `"10.0.0.1:7000"`, []string{
			`listen.endpoints: the address 10.0.0.1:7000 is already used by listen.callers`}},
		{"other peer address", `"peers": "10.0.0.1:7003"`, `"peers": "10.0.0.9:7003"`, []string{
			`control_hosts[0].address: must be the address of listen.peers, 10.0.0.9:7003, not 10.0.0.1:7003`}},
		{"not in control hosts", `{"host": "maz-a"`, `{"host": "maz-x"`, []string{
			`control_hosts: must list this host, "maz-a", because of its roles`}},
		{"other region", `{"host": "maz-a", "region": "maz"`, `{"host": "maz-a", "region": "wlkp"`, []string{
			`control_hosts[0].region: must be this daemon's region, "maz", not "wlkp"`}},
		{"other roles", `"roles": ["scheduler", "replica"]},`, `"roles": ["replica"]},`, []string{
			`control_hosts[0].roles: must be the roles of this daemon, [router scheduler replica], not [replica]`}},
		{"duplicate host", `{"host": "maz-b"`, `{"host": "maz-a"`, []string{
			`control_hosts[1].host: the host "maz-a" is listed twice`,
			`control_hosts[1].address: must be the address of listen.peers, 10.0.0.1:7003, not 10.0.0.2:7003`}},
		{"no port", `"address": "10.0.0.2:7003"`, `"address": "0.0.0.0:0"`, []string{
			`control_hosts[1].address: must be an address that other hosts can connect to, not 0.0.0.0:0`}},
		{"router only", `"address": "10.0.0.2:7003", "roles": ["scheduler", "replica"]`, `"address": "10.0.0.2:7003", "roles": ["router"]`, []string{
			`control_hosts[1].roles: must have the role "scheduler", "replica" or "placement"`}},
		{"duplicate operator", `"name": "bob"`, `"name": "ann"`, []string{`operators[1].name: the operator "ann" is listed twice`}},
		{"operator key", `"key_sha256": "0`, `"key_sha256": "X`, []string{
			`operators[0].key_sha256: must be a SHA-256 of 64 lower-case hex digits`}},
		{"same operator key", `"key_sha256": "1`, `"key_sha256": "0`, []string{`operators[1].key_sha256: another operator has the same key`}},
		{"no certificate", `"callers": {"cert_file": "c.pem", "key_file": "c.key"},`, ``, []string{
			`tls.callers: is required, unless tls.plaintext is true`}},
		{"no key file", `"c.key"`, `""`, []string{`tls.callers.key_file: is required`}},
		{"no authority", `, "ca_file": "ca.pem"`, ``, []string{`tls.peers.ca_file: is required, because daemons authenticate each other`}},
		{"negative limit", `"commit_timeout_ms": 500`, `"commit_timeout_ms": -1`, []string{
			`limits.commit_timeout_ms: must be from 1 to 60000, not -1`}},
		{"conflicting limits", `"commit_timeout_ms": 500`, `"max_answer_bytes": 100`, []string{
			`limits.max_saved_answer_bytes: must be at most max_answer_bytes, 100, not 65536`}},
		{"log", `"log": {}`, `"log": {"level": "loud", "format": "xml"}`, []string{
			`log.level: must be debug, info, warn or error, not "loud"`, `log.format: must be json or text, not "xml"`}},
		{"wrong type", `"host": "maz-a",`, `"host": 7,`, []string{
			`host: must be a string, not the number 7`, `control_hosts: must list this host, "", because of its roles`}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			document := readSettings(c)
			c.Assert(strings.Contains(document, test.old), qt.IsTrue)
			_, err := settings.Parse([]byte(strings.Replace(document, test.old, test.changed, 1)))
			var found *finding.Error
			c.Assert(errors.As(err, &found), qt.IsTrue)
			c.Assert(strings.Split(found.Error(), "\n"), qt.DeepEquals, test.want)
		})
	}
}

func TestFleetNeedsReplicaAndScheduler(t *testing.T) {
	c := qt.New(t)
	document := strings.ReplaceAll(readSettings(c), `"scheduler", "replica"`, `"placement"`)
	_, err := settings.Parse([]byte(document))
	c.Assert(err, qt.ErrorMatches, `control_hosts: must list at least one host with the role "replica"
control_hosts: must list at least one host with the role "scheduler"`)
}

func TestPlaintextNeedsNoCertificate(t *testing.T) {
	c := qt.New(t)
	document := readSettings(c)
	from := strings.Index(document, `"tls": {`)
	to := strings.Index(document, `"limits"`)
	s, err := settings.Parse([]byte(document[:from] + `"tls": {"plaintext": true},` + document[to:]))
	c.Assert(err, qt.IsNil)
	var advice finding.List
	s.Advise(&advice)
	c.Assert(advice.Err(), qt.ErrorMatches, "tls.plaintext: listeners without a certificate use plain TCP")
}

func TestAdviseAgainstEvenReplicas(t *testing.T) {
	c := qt.New(t)
	s, err := settings.Parse([]byte(readSettings(c)))
	c.Assert(err, qt.IsNil)
	s.ControlHosts = append(s.ControlHosts, settings.ControlHost{Roles: []settings.Role{settings.RoleReplica}})
	var advice finding.List
	s.Advise(&advice)
	c.Assert(advice.Err(), qt.ErrorMatches, "control_hosts: 4 replicas tolerate the loss of no more hosts than 3 do; use an odd number")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(readSettings(qt.New(f))))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse(data)
		if err != nil {
			return
		}
		var list finding.List
		s.Validate(&list)
		if list.Len() > 0 {
			t.Fatal(list.Err())
		}
	})
}
