package receiver

import (
	"encoding/hex"
	"net/http"
	"strings"
	"unicode/utf8"
)

// sentPath returns the path of a request as it was sent, with its escapes: the target gets it in this form, so that an
// escaped slash does not begin a segment for either.
func sentPath(r *http.Request) string {
	target, _, _ := strings.Cut(r.RequestURI, "?")
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, isAbsolute := strings.Cut(target, "://")
	if !isAbsolute {
		return target
	}
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		return rest[i:]
	}
	return "/"
}

// budgetName returns the name of the program's budget. Programs of different workspaces may have the
// same ID.
func (h *callHandler) budgetName() string {
	program := h.call.Program
	if !utf8.ValidString(program) {
		// Messages and rows can't have the bytes. No caller can send this name, since a header has no control characters.
		program = "\x7f" + hex.EncodeToString([]byte(program))
	}
	if h.workspace == nil {
		return program
	}
	return h.workspace.Name + ":" + program
}
