package events

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// chunkReader returns one chunk per read, then the error.
type chunkReader struct {
	chunks []string
	err    error
}

func (p *chunkReader) Read(to []byte) (int, error) {
	if len(p.chunks) == 0 {
		return 0, p.err
	}
	n := copy(to, p.chunks[0])
	if p.chunks[0] = p.chunks[0][n:]; p.chunks[0] == "" {
		p.chunks = p.chunks[1:]
	}
	return n, nil
}

func readAll(reader *Reader) (raw []string, err error) {
	for {
		event, err := reader.Next()
		if err != nil {
			return raw, err
		}
		raw = append(raw, string(event.Raw))
	}
}

var _ = Describe("Reader", func() {
	errReset := errors.New("reset")

	DescribeTable("splits a stream into its events",
		func(body []string, end error, wanted []string) {
			raw, err := readAll(NewReader(&chunkReader{chunks: body, err: end}))
			Expect(err).To(Equal(end))
			Expect(raw).To(Equal(wanted))
		},
		Entry("one", []string{"id: 1\ndata: a\n\n"}, io.EOF, []string{"id: 1\ndata: a\n\n"}),
		Entry("two in one chunk", []string{"data: a\n\ndata: b\n\n"}, io.EOF, []string{"data: a\n\n", "data: b\n\n"}),
		Entry("one in several chunks", []string{"id", ": 1\nda", "ta: a\n", "\n"}, io.EOF, []string{"id: 1\ndata: a\n\n"}),
		Entry("carriage returns", []string{"data: a\r\n\r", "\ndata: b\r\n\r\n"}, io.EOF, []string{"data: a\r\n\r\n", "data: b\r\n\r\n"}),
		Entry("an error within an event drops its part", []string{"data: a\n\nid: 2\ndata: b"}, errReset, []string{"data: a\n\n"}),
		Entry("an error between the line feeds drops the event too", []string{"data: a\n"}, errReset, nil),
		Entry("the regular end keeps an incomplete event", []string{"data: a\n\ndata: b\n"}, io.EOF, []string{"data: a\n\n", "data: b\n"}),
		Entry("nothing", nil, io.EOF, nil),
	)

	It("returns the same events for any size of reads", func() {
		body := strings.Repeat("versions: 3\nid: 7\ndata: "+strings.Repeat("x", 3000)+"\n\n", 4)
		raw, err := readAll(NewReader(iotest.OneByteReader(strings.NewReader(body))))
		Expect(err).To(Equal(io.EOF))
		Expect(raw).To(HaveLen(4))
		Expect(strings.Join(raw, "")).To(Equal(body))
	})

	DescribeTable("parses id and data",
		func(text string, id uint64, hasID bool, data string, hasData bool) {
			event, err := NewReader(strings.NewReader(text)).Next()
			Expect(err).NotTo(HaveOccurred())
			Expect(event.ID).To(Equal(id))
			Expect(event.HasID).To(Equal(hasID))
			Expect(string(event.Data)).To(Equal(data))
			Expect(event.HasData).To(Equal(hasData))
		},
		Entry("both", "id: 12\ndata: a b\n\n", uint64(12), true, "a b", true),
		Entry("no space", "id:12\ndata:a\n\n", uint64(12), true, "a", true),
		Entry("only one space is removed", "data:  a\n\n", uint64(0), false, " a", true),
		Entry("several data fields", "data: a\ndata: b\n\n", uint64(0), false, "a\nb", true),
		Entry("empty data", "data:\n\n", uint64(0), false, "", true),
		Entry("a version line before", "versions: 4\nid: 3\ndata: a\n\n", uint64(3), true, "a", true),
		Entry("an id that is not a number", "id: x\n\n", uint64(0), false, "", false),
		Entry("a comment", ": hello\n\n", uint64(0), false, "", false),
	)

	It("reports whether a complete event is buffered", func() {
		reader := NewReader(strings.NewReader("data: a\n\ndata: b\n\ndata: c"))
		_, err := reader.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(reader.NextBuffered()).To(BeTrue())
		_, err = reader.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(reader.NextBuffered()).To(BeFalse())
	})

	It("rejects an endless event", func() {
		endless := io.MultiReader(strings.NewReader("data: "), bytes.NewReader(make([]byte, 2*MaxEventBytes)))
		_, err := NewReader(endless).Next()
		Expect(err).To(MatchError(ErrTooLong))
	})
})
