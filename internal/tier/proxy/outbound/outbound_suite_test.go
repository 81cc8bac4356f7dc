package outbound

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestOutbound(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Outbound")
}
