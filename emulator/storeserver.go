package emulator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// CallerHeader is the HTTP header with the name of the calling host, which determines the
// faults that apply to a request.
const CallerHeader = "Dogwoodweir-Caller"

// maxStoreBody is the largest size in bytes of the body of a request to the store.
const maxStoreBody = 64 << 20

// StoreServer serves the table service and the object store over HTTP: POST /v1/commit,
// /v1/read and /v1/scan with JSON bodies; PUT, GET and DELETE /v1/objects/<name>; and GET
// /v1/objects/?prefix=<prefix>.
//
// If a fault drops the response, the connection is closed without one.
type StoreServer struct {
	tables  *TableStore
	objects *ObjectStore
	mux     *http.ServeMux
}

// NewStoreServer returns an HTTP handler for both stores.
func NewStoreServer(tables *TableStore, objects *ObjectStore) *StoreServer {
	s := &StoreServer{tables: tables, objects: objects, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/commit", s.commit)
	s.mux.HandleFunc("POST /v1/read", s.read)
	s.mux.HandleFunc("POST /v1/scan", s.scan)
	s.mux.HandleFunc("PUT /v1/objects/{name...}", s.put)
	s.mux.HandleFunc("GET /v1/objects/{name...}", s.get)
	s.mux.HandleFunc("DELETE /v1/objects/{name...}", s.delete)
	return s
}

// ServeHTTP serves one request.
func (s *StoreServer) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *StoreServer) commit(w http.ResponseWriter, r *http.Request) {
	var transaction provider.Transaction
	if !decodeBody(w, r, &transaction) {
		return
	}
	result, err := s.tables.ForCaller(caller(r)).Commit(r.Context(), transaction)
	writeResponse(w, result, err)
}

func (s *StoreServer) read(w http.ResponseWriter, r *http.Request) {
	var request struct{ Table, Key string }
	if !decodeBody(w, r, &request) {
		return
	}
	row, err := s.tables.ForCaller(caller(r)).Read(r.Context(), request.Table, request.Key)
	writeResponse(w, row, err)
}

func (s *StoreServer) scan(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Table, Prefix, After string
		Limit                int
	}
	if !decodeBody(w, r, &request) {
		return
	}
	rows, err := s.tables.ForCaller(caller(r)).Scan(r.Context(), request.Table, request.Prefix, request.After, request.Limit)
	writeResponse(w, map[string]any{"rows": rows}, err)
}

func (s *StoreServer) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStoreBody))
	if err != nil {
		writeResponse(w, nil, provider.NewError("objects.put", provider.KindInvalid, err))
		return
	}
	err = s.objects.ForCaller(caller(r)).Put(r.Context(), r.PathValue("name"), value)
	writeResponse(w, struct{}{}, err)
}

func (s *StoreServer) get(w http.ResponseWriter, r *http.Request) {
	objects := s.objects.ForCaller(caller(r))
	if name := r.PathValue("name"); name != "" {
		value, err := objects.Get(r.Context(), name)
		if err != nil {
			writeResponse(w, nil, err)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(value)
		return
	}
	names, err := objects.List(r.Context(), r.URL.Query().Get("prefix"))
	writeResponse(w, map[string]any{"names": names}, err)
}

func (s *StoreServer) delete(w http.ResponseWriter, r *http.Request) {
	err := s.objects.ForCaller(caller(r)).Delete(r.Context(), r.PathValue("name"))
	writeResponse(w, struct{}{}, err)
}

func caller(r *http.Request) string { return r.Header.Get(CallerHeader) }

func decodeBody(w http.ResponseWriter, r *http.Request, value any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxStoreBody)).Decode(value)
	if err != nil {
		writeResponse(w, nil, provider.NewError("store.decode", provider.KindInvalid, err))
	}
	return err == nil
}

// storeStatuses maps error kinds to HTTP statuses. The body of the response names the kind too.
var storeStatuses = map[provider.Kind]int{
	provider.KindConflict:    http.StatusConflict,
	provider.KindUnavailable: http.StatusServiceUnavailable,
	provider.KindRefused:     http.StatusTooManyRequests,
	provider.KindFenced:      http.StatusPreconditionFailed,
	provider.KindNotFound:    http.StatusNotFound,
	provider.KindUnsupported: http.StatusNotImplemented,
	provider.KindInvalid:     http.StatusBadRequest,
}

// writeResponse writes a value or an error. It closes the connection without a response if
// a fault dropped the response or if the error's kind has no status, as KindUnknown.
func writeResponse(w http.ResponseWriter, value any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err == nil {
		_ = json.NewEncoder(w).Encode(value)
		return
	}
	kind := provider.KindOf(err)
	status, known := storeStatuses[kind]
	if !known || errors.Is(err, errNoResponse) {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"kind": kind.String(), "message": err.Error()})
}
