package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"emberquay/admission/dispatch"
)

// maxPrefixParts bounds what is taken of a prompt's description.
const maxPrefixParts = 256

// tokenUsage is what a request says of its tokens.
type tokenUsage struct {
	promptTokens, maxOutputTokens int // of the prompt; the most that is generated
	known                         bool
}

// parseTokenUsage reads "IN,OUT".
func parseTokenUsage(text string) tokenUsage {
	in, out, two := strings.Cut(text, ",")
	if !two {
		return tokenUsage{}
	}
	inNumber, inErr := strconv.Atoi(strings.TrimSpace(in))
	outNumber, outErr := strconv.Atoi(strings.TrimSpace(out))
	if inErr != nil || outErr != nil || inNumber < 0 || outNumber < 0 {
		return tokenUsage{}
	}
	return tokenUsage{promptTokens: inNumber, maxOutputTokens: outNumber, known: true}
}

// parsePromptPrefix reads "ID:TOKENS,ID:TOKENS", ids in hex. It ends at the first part that makes no sense.
func parsePromptPrefix(text string) []dispatch.PrefixPart {
	if text == "" {
		return nil
	}
	parts := make([]dispatch.PrefixPart, 0, min(maxPrefixParts, 1+strings.Count(text, ",")))
	for part := range strings.SplitSeq(text, ",") {
		id, tokens, _ := strings.Cut(strings.TrimSpace(part), ":")
		number, err := strconv.ParseUint(id, 16, 64)
		count, countErr := strconv.Atoi(tokens)
		if err != nil || countErr != nil || count < 0 || len(parts) == maxPrefixParts {
			break
		}
		parts = append(parts, dispatch.PrefixPart{ID: number, Tokens: count})
	}
	return parts
}

// parseMilliseconds reads a field of whole or fractional milliseconds; false: there is none that makes sense.
func parseMilliseconds(header http.Header, name string) (time.Duration, bool) {
	text := header.Get(name)
	if text == "" {
		return 0, false
	}
	number, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(number >= 0) {
		return 0, false
	}
	return time.Duration(min(number, 1e9) * float64(time.Millisecond)), true
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
