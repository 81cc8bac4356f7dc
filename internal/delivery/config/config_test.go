package config

import (
	"strings"
	"testing"
	"time"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:8443","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
 "state":"/tmp/state","limits":{"cores":0.5,"memory_mb":128,"sockets":512,"disk_mb":2},
 "known":{"version":41,"full":true,"servers":[]},
 "settings":{"Kinds":["a","b"],"Orgs":[],"Instances":2,"Report":{"Names":["x0","x1"]},
  "Contract":{"FallMultiple":2.0},"Permissions":{"MaxOpen":435,"ConnIdleUs":5000000,"RetryAfter":true},
  "Specifics":{"Notes":"full: wait, if told","MaxCalls":51},
  "RequestClasses":[{"Name":"p","Group":null},{"Name":"q"}]}}`

func noEnv(string) string { return "" }

func TestConfiguration(t *testing.T) {
	c, err := Parse([]byte(validConfig), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{
		"Kinds": "a,b", "Orgs": "", "Instances": "2", "Report.Names": "x0,x1", "Contract.FallMultiple": "2.0",
		"Permissions.RetryAfter": "true", "Specifics.Notes": "full:_wait__if_told",
		"RequestClasses.count": "2", "RequestClasses.0.Name": "p", "RequestClasses.1.Name": "q",
	} {
		if got, ok := c.Settings[key]; !ok || got != want {
			t.Errorf("%s is %q, want %q", key, got, want)
		}
	}
	l := c.Limits
	if c.Seed != 0x8c1f30d27a5be964 || l.Cores != 1 || l.MaxTexts != 435 || l.MaxCalls != 51 || l.MemoryBytes != 128e6 ||
		l.ReceiverIdleTimeout >= 5*time.Second || l.MaxClientConns+l.MaxReceiverConns >= 512 || l.MaxClientConns*3 >= 512 {
		t.Errorf("%+v", c)
	}
	// However many senders start together, the first request leaves time to obey a drain announced before.
	many := strings.NewReplacer(`"Instances":2`, `"Instances":300`, `"FallMultiple":2.0`, `"StopSendingWithinUs":800000`)
	if c, err := Parse([]byte(many.Replace(validConfig)), noEnv); err != nil || c.Limits.FirstListWindow != 600*time.Millisecond || l.FirstListWindow != 200*time.Millisecond {
		t.Errorf("first request within %s, with two senders within %s, %v", c.Limits.FirstListWindow, l.FirstListWindow, err)
	}
	c, err = Parse([]byte(validConfig), func(name string) string {
		return map[string]string{"GW_LISTEN": "127.0.0.9:1"}[name]
	})
	if err != nil || c.ListenAddr != "127.0.0.9:1" || c.Name != "n3" {
		t.Errorf("%+v %v", c, err)
	}
}

func TestErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"name":"n3"`, `"name":""`, "name: missing"},
		{`"127.0.0.1:8443"`, `"8443"`, "listen:"},
		{`"8c1f30d27a5be964"`, `"xyz"`, "seed:"},
		{`"cores":0.5`, `"cores":"1"`, "limits.cores"},
		{`"memory_mb":128`, `"memory_mb":-1`, "limits.memory_mb"},
		{`"MaxOpen":435`, `"MaxOpen":"many"`, "settings.Permissions.MaxOpen"},
		{`"MaxCalls":51`, `"MaxCalls":0`, "settings.Specifics.MaxCalls"},
		{`"ConnIdleUs":5000000`, `"ConnIdleUs":-5`, "settings.Permissions.ConnIdleUs"},
		{`{"Name":"q"}`, `{"Name":"p"}`, "settings.RequestClasses.1.Name"},
		{`"FallMultiple":2.0`, `"StopSendingWithinUs":0`, "settings.Contract.StopSendingWithinUs"},
		{`["a","b"]`, `[["a"]]`, "settings.Kinds.0"},
		{`"Instances":2`, `"RegistryMode":"pull"`, "settings.RegistryMode"},
		{`"FallMultiple":2.0`, `"AskEveryUs":0`, "settings.Contract.AskEveryUs"},
		{`"MaxCalls":51`, `"Carriage":["x"]`, "settings.Specifics.Carriage"},
		{`"MaxCalls":51`, `"Carriage":[-0.1]`, "settings.Specifics.Carriage"},
		{`"MaxCalls":51`, `"Carriage":[0.06,0]},"FailureDomains":["p","q","r"],"x":{`, "2 fees for 3"},
		{`"Orgs":[]`, `"Orgs":[{"Name":"b","QuotaPerS":-3}]`, "settings.Orgs.0.QuotaPerS"},
		{`"Instances":2`, `"OverShareWorth":1.5`, "settings.OverShareWorth"},
		{`"settings":{`, `"settings":7,"x":{`, "settings: not an object"},
		{`{"name"`, `"name"`, "not JSON"},
	} {
		_, err := Parse([]byte(strings.Replace(validConfig, c.old, c.new, 1)), noEnv)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.new, err, c.want)
		}
	}
}

// Settings that only some deployments have are taken from the platform's file too.
func TestDeploymentSettings(t *testing.T) {
	moved := strings.NewReplacer(`"Instances":2`, `"Instances":200,"RegistryMode":"ask","FailureDomains":["p","q","r"],"OverShareWorth":0.05`,
		`"Orgs":[]`, `"Orgs":[{"Name":"b","QuotaPerS":3.5}]`, `"MaxCalls":51`, `"MaxCalls":51,"Carriage":[0.06,0,0.03]`,
		`"FallMultiple":2.0`, `"AskEveryUs":4000000`)
	c, err := Parse([]byte(moved.Replace(validConfig)), noEnv)
	for key, want := range map[string]string{"RegistryMode": "ask", "Contract.AskEveryUs": "4000000", "Orgs.0.QuotaPerS": "3.5",
		"Specifics.Carriage": "0.06,0,0.03", "FailureDomains": "p,q,r", "OverShareWorth": "0.05"} {
		if err != nil || c.Settings[key] != want {
			t.Fatalf("%s: want %q, %v", key, want, err)
		}
	}
}
