package dispatch

import (
	"fmt"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("receivers that no report tells of", func() {
	const each = 12

	// pools makes engines of which half are told to run so many requests.
	pools := func(running int) *script {
		var list []Receiver
		for i := range each {
			list = append(list, engine(InstanceID(fmt.Sprint("told-", i))), engine(InstanceID(fmt.Sprint("untold-", i))))
		}
		s := newScript(list...)
		for _, b := range s.buckets {
			b.known = true
		}
		s.tellAll(running)
		return s
	}
	ginkgo.It("are taken to be about as busy as the others, not idle", func() {
		s := pools(8)
		told := 0
		for i := range 80 {
			s.tellAll(8)
			id := RequestID(fmt.Sprint(i))
			s.arrive(id, prompt(PrefixPart{ID: uint64(100 + i), Tokens: 2000}))
			if strings.HasPrefix(string(s.last(id).Instance), "told") {
				told++
			}
			s.serve(id, 50*ms)
		}
		Expect(told).To(BeNumerically(">", 10))
	})
	ginkgo.It("are as busy as this sender alone makes them where that is more", func() {
		s := pools(2)
		for i := range 4 * each {
			s.arrive(RequestID(fmt.Sprint(i)), prompt(PrefixPart{ID: uint64(100 + i), Tokens: 2000}))
		}
		for _, b := range s.buckets {
			Expect(len(b.out)).To(BeNumerically("<=", 4))
		}
	})
	ginkgo.It("leave no room where those that are told of are full", func() {
		s := pools(25)
		Expect(s.service(pool).outlook(s.now).room).To(BeFalse())
	})
	ginkgo.It("say nothing of each other: one that is told to be busy does not make the rest so", func() {
		s := newScript(engine("busy"), engine("a"), engine("b"))
		s.told("busy", Report{Running: 20})
		Expect(s.service(pool).usualLoad(s.now)).To(BeZero())
	})
	ginkgo.It("are idle where no receiver is told of", func() {
		s := newScript(engine("a"), engine("b"))
		Expect(s.service(pool).usualLoad(s.now)).To(BeZero())
		Expect(s.service(pool).outlook(s.now).room).To(BeTrue())
	})
})

// tellAll has each receiver of which anything is told report about so many running requests.
func (s *script) tellAll(running int) {
	for i := range s.buckets {
		if strings.HasPrefix(string(i), "told") {
			s.told(i, Report{Running: running + int(i[len(i)-1]-'0')%3 - 1})
		}
	}
}
