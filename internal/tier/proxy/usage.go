package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"emberquay/admission/dispatch"
)

// maxPrefixParts bounds the number of prompt prefix parts that are used.
const maxPrefixParts = 256

// tokenUsage holds the token numbers announced by a request.
type tokenUsage struct {
	promptTokens, maxOutputTokens int
	known                         bool
}

// parseTokenUsage parses "IN,OUT".
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

// parsePromptPrefix parses "ID:TOKENS,ID:TOKENS" with hexadecimal ids. It stops at the first invalid part.
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

// parseMilliseconds parses a header field of whole or fractional milliseconds. It returns false if the field is missing
// or invalid.
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
