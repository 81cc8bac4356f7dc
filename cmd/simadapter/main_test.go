package main

import (
	"strings"
	"testing"
)

const spawn = "SPAWN Who=1 InitSeed=5 Kinds=one Permissions.TryLimit=3 RequestClasses.count=1 " +
	"RequestClasses.0.Name=a RequestClasses.0.Repeat=safe RequestClasses.0.ObjectiveUs=1000000 Specifics.MaxCalls=4\n"

const list = "DIRECTORY Ref=0 Elements=1\nM Receiver=7 Destination=2 Type=one Condition=up\n" +
	"UPDATE Who=1 Ref=0 Scope=Persisted Generation=1\n"

const ingress = "INGRESS Who=1 OpId=q1 Priority=a BoundFor=2 PatienceLeftUs=5000000\n"

func runAdapter(t *testing.T, in string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := run(strings.NewReader(in), &out)
	return out.String(), err
}

func batch(round, events string) string {
	return "CLOCK AtTimeUs=8412250 round=" + round + "\n" + events + "COMMIT\n"
}

func TestBatches(t *testing.T) {
	out, err := runAdapter(t, batch("1", "")+batch("2", spawn+list+ingress))
	if err != nil || !strings.HasPrefix(out, "FINISHED round=1\nATTEMPT Who=1 OpId=q1 Receiver=7 CapUs=") ||
		!strings.HasSuffix(out, "FINISHED round=2\n") {
		t.Errorf("%v\n%s", err, out)
	}
}

func TestKilledInstanceWritesNothing(t *testing.T) {
	out, err := runAdapter(t, batch("1", spawn+list+ingress+"POWER_OFF Who=1\n"+spawn))
	if err != nil || out != "FINISHED round=1\n" {
		t.Errorf("%v\n%s", err, out)
	}
}

func TestListRefsAreReused(t *testing.T) {
	second := strings.NewReplacer("Receiver=7", "Receiver=8", "Persisted", "Complete").Replace(list)
	out, err := runAdapter(t, batch("1", spawn+list+second+ingress))
	if err != nil || !strings.Contains(out, "Receiver=8") {
		t.Errorf("%v\n%s", err, out)
	}
}

func TestBadInput(t *testing.T) {
	for events, want := range map[string]string{
		ingress:                                 "instance 1 does not run",
		spawn + "HELLO Who=1\n":                 "line 3: HELLO: no such message",
		spawn + "INGRESS Who=1 OpId=q\n":        "field Priority: missing",
		spawn + "BELL Who=1 Mark=x\n":           "line 3: BELL: field Mark",
		spawn + "DIRECTORY Ref=16 Elements=0\n": "field Ref",
		spawn + "DIRECTORY Ref=0 Elements=1\n":  "an entry M was expected",
		"CLOCK AtTimeUs=1 round=2\n":            "not expected here",
		spawn + "ATTEMPT_END Who=1 OpId=q SeqNo=0 Receiver=7 Status=lost\n": "field Status",
	} {
		if _, err := runAdapter(t, batch("1", events)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", events, err, want)
		}
	}
	if _, err := runAdapter(t, "CLOCK AtTimeUs=1 round=1\n"); err == nil {
		t.Error("input that ends inside a batch was taken")
	}
}

func TestFaultsAreReported(t *testing.T) {
	out, err := runAdapter(t, batch("1", strings.Replace(spawn, "MaxCalls=4", "MaxCalls=0", 1)+ingress))
	if err != nil || !strings.HasPrefix(out, "BUG Who=1 Msg=setting Specifics.MaxCalls") {
		t.Errorf("%v\n%s", err, out)
	}
}
