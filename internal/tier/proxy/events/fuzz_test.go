package events_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"emberquay/internal/tier/proxy/events"
)

// readEvents returns the events of a body and the error after the last one.
func readEvents(body io.Reader) (raws, datas [][]byte, err error) {
	reader := events.NewReader(body)
	for {
		event, err := reader.Next()
		if err != nil {
			return raws, datas, err
		}
		raws = append(raws, bytes.Clone(event.Raw))
		datas = append(datas, bytes.Clone(event.Data))
	}
}

// FuzzNext checks that no byte of a body is lost or added, that the size of reads makes no difference, and that no
// incomplete event is returned if the body breaks.
func FuzzNext(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"id: 1\r\ndata: a\r\ndata: b\r\n\r\n",
		"versions: 3\nid: 18446744073709551616\ndata\n\n",
		": comment\n\n\n\nid:1\ndata: cut of",
		"data: a\n\r\n\rid: x\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		raws, datas, err := readEvents(bytes.NewReader(body))
		if !errors.Is(err, io.EOF) {
			t.Fatalf("a complete body ends with %v", err)
		}
		if !bytes.Equal(bytes.Join(raws, nil), body) {
			t.Fatalf("the events of %q are %q", body, raws)
		}
		byteRaws, byteDatas, err := readEvents(iotest.OneByteReader(bytes.NewReader(body)))
		if !errors.Is(err, io.EOF) || len(byteRaws) != len(raws) {
			t.Fatalf("%d events from single-byte reads, want %d: %v", len(byteRaws), len(raws), err)
		}
		for at := range raws {
			if !bytes.Equal(byteRaws[at], raws[at]) || !bytes.Equal(byteDatas[at], datas[at]) {
				t.Fatalf("event %d from single-byte reads is %q with data %q, want %q with %q", at, byteRaws[at], byteDatas[at], raws[at], datas[at])
			}
		}
		truncated, _, err := readEvents(io.MultiReader(bytes.NewReader(body), iotest.ErrReader(io.ErrUnexpectedEOF)))
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("a truncated body ends with %v", err)
		}
		for _, raw := range truncated {
			if !bytes.HasSuffix(raw, []byte("\n\n")) && !bytes.HasSuffix(raw, []byte("\n\r\n")) {
				t.Fatalf("incomplete event %q is returned from a truncated body", raw)
			}
		}
	})
}
