package fetch

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

var (
	errStatus  = errors.New("fetch: the status of the response is not valid")
	errInterim = errors.New("fetch: an interim response has a body")
)

// maxStatus is the largest status (RFC 9110, section 15).
const maxStatus = 599

// CheckStatus returns an error if the status of a response has not three digits or is out of the
// range of RFC 9110. The parser of net/http takes "+20" and "000", and what is below 100 has no
// meaning: it must not count as an interim response, whose body would be read as the next head.
func CheckStatus(resp *http.Response) error {
	for _, digit := range []byte(resp.Status[:min(3, len(resp.Status))]) {
		if digit < '0' || digit > '9' {
			return errStatus
		}
	}
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus || resp.StatusCode == http.StatusSwitchingProtocols {
		return errStatus
	}
	return nil
}

// CheckInterim returns an error if the header of an interim response says that it has a body, which
// none may have: it would be read as the next head.
func CheckInterim(h http.Header) error {
	if h["Content-Length"] != nil || h["Transfer-Encoding"] != nil {
		return errInterim
	}
	return nil
}
