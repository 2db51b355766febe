package connector

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Guards against transferring a host list that has not changed, and against treating a
// changed list as unchanged.
func TestHostListIsConditional(t *testing.T) {
	first := provider.Member{Host: "a", Role: "daemon"}
	list := emulator.NewHostList([]provider.Member{first})
	handler := adaptor.FiberApp(list.Handler())
	var statuses []int
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		handler(recorder, r)
		statuses = append(statuses, recorder.Code)
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	client := NewHostList(NewClient(Options{}), server.URL)
	second := provider.Member{Host: "b", Role: "drafter"}
	want := [][]provider.Member{{first}, {first}, {first, second}, {second}, {second}}
	changes := []func(){func() {}, func() {}, func() { list.Put(second) }, func() { list.Remove("a") }, func() {}}
	var got [][]provider.Member
	for _, change := range changes {
		change()
		members, err := client.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, members)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lists (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{200, 304, 200, 200, 304}, statuses); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
}
