package operator_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/platform"
	"cicadarouter/contract/platform/memstore"
	"cicadarouter/operator"
	"cicadarouter/record"
	"cicadarouter/report"
)

const (
	splitV1 = `{"kind":"service","name":"split","schema":"v1","spec":{"keyed":true,"domains":["a","b"],"checksTokens":true,"availabilityPercent":99.5}}`
	server1 = `{"kind":"server","name":"s1","schema":"v2","spec":{"service":"split","domain":"a","address":"127.0.0.1:9000","slots":2,"connections":10}}`
)

func read(t *testing.T, texts ...string) []operator.Document {
	t.Helper()
	documents, err := operator.ReadDocuments("test", strings.NewReader(strings.Join(texts, "\n")))
	assert.NilError(t, err)
	return documents
}

func applied(t *testing.T, store platform.Store, texts ...string) *operator.Client {
	t.Helper()
	client := operator.NewClient(store)
	_, _, err := client.Apply(context.Background(), read(t, texts...), operator.Options{})
	assert.NilError(t, err)
	return client
}

// TestBrokenInputChangesNothing checks that Apply reports the field that is wrong and
// writes nothing.
func TestBrokenInputChangesNothing(t *testing.T) {
	rows := []struct {
		name  string
		texts []string
		field string
	}{
		{"server of no service", []string{strings.Replace(server1, "split", "nothing", 1)}, "service"},
		{"server in a domain that the service lacks", []string{splitV1, strings.Replace(server1, `"a"`, `"c"`, 1)}, "domain"},
		{"two servers at one address", []string{splitV1, server1, strings.Replace(server1, "s1", "s2", 1)}, "address"},
		{"one record twice", []string{splitV1, splitV1}, "name"},
		{"slots of 0", []string{splitV1, strings.Replace(server1, `"slots":2`, `"slots":0`, 1)}, "slots"},
		{"kind written by controllers", []string{`{"kind":"page","name":"x.0","schema":"v2","spec":{}}`}, "kind"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			store := memstore.New()
			_, _, err := operator.NewClient(store).Apply(context.Background(), read(t, row.texts...), operator.Options{})
			var check *record.ValidationError
			assert.Assert(t, errors.As(err, &check), "got %v", err)
			assert.Assert(t, slices.ContainsFunc(check.Fields, func(f *record.FieldError) bool { return f.Field == row.field }), err)
			snapshot, _ := store.List(context.Background())
			assert.Equal(t, len(snapshot.Objects), 0)
		})
	}
}

// TestRacingOperators checks that of two edits based on the same version, the second
// is rejected with the difference from the first, and doesn't overwrite it.
func TestRacingOperators(t *testing.T) {
	store := memstore.New()
	client := applied(t, store, splitV1)
	object, err := client.Get(context.Background(), record.Ref{Kind: record.KindService, Name: "split"})
	assert.NilError(t, err)
	edit := func(weigh record.Weigh, schema record.Schema) []operator.Document {
		service, err := record.DecodeService(object.Envelope)
		assert.NilError(t, err)
		service.Weigh = weigh
		envelope, err := service.Encode(schema)
		assert.NilError(t, err)
		return []operator.Document{{Envelope: envelope, Version: object.Version}}
	}
	_, _, err = client.Apply(context.Background(), edit(record.WeighChurn, record.SchemaV2), operator.Options{})
	assert.NilError(t, err)
	_, _, err = client.Apply(context.Background(), edit(record.WeighUnavailability, record.SchemaV1), operator.Options{})
	var conflict *operator.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "got %v", err)
	assert.Assert(t, strings.Contains(conflict.Error(), "weigh"), conflict.Error())
	stored, err := client.Get(context.Background(), object.Ref())
	assert.NilError(t, err)
	service, err := record.DecodeService(stored.Envelope)
	assert.NilError(t, err)
	assert.Equal(t, service.Weigh, record.WeighChurn)
}

// lossyStore loses the response to the first write, which has taken effect.
type lossyStore struct {
	platform.Store
	once sync.Once
}

func (s *lossyStore) Update(ctx context.Context, e record.Envelope, version uint64) (uint64, error) {
	written, err := s.Store.Update(ctx, e, version)
	s.once.Do(func() { err = platform.ErrUnavailable })
	return written, err
}

// Guards against a write being reported as failed although it took effect. It happens
// if the store's response is lost and the record isn't read back.
func TestLostReplyIsSettled(t *testing.T) {
	client := operator.NewClient(&lossyStore{Store: memstore.New()})
	changes, _, err := client.Apply(context.Background(), read(t, splitV1), operator.Options{})
	assert.NilError(t, err)
	assert.Equal(t, changes[0].Version, uint64(1))
}

// TestApplyIsIdempotent checks that applying the same input again changes nothing, for
// records in either schema.
func TestApplyIsIdempotent(t *testing.T) {
	store := memstore.New()
	client := applied(t, store, splitV1, server1)
	changes, _, err := client.Apply(context.Background(), read(t, splitV1, server1), operator.Options{})
	assert.NilError(t, err)
	for _, change := range changes {
		assert.Equal(t, change.Action, operator.Unchanged)
	}
}

// TestBurn checks the burn rates, the alarm and the causes for a service with failed
// requests.
func TestBurn(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var series report.Series
	series.Add(now.Add(-30*time.Minute), report.Count{Total: 900}, nil)
	series.Add(now, report.Count{Total: 100, Bad: 20, Slow: 5}, map[string]uint64{"overload": 20})
	service := record.Service{Objectives: record.Objectives{Availability: 0.99, LatencyShare: 0.95}}
	line := report.Burn(now, service, series)
	assertNear := func(got, want float64) {
		assert.Assert(t, got > want-0.01 && got < want+0.01, "%f, want %f", got, want)
	}
	assertNear(line.Availability[0], 20)
	assertNear(line.Availability[1], 2)
	assertNear(line.Latency[0], 1)
	assertNear(line.BudgetLeft, -1)
	assert.Equal(t, line.Causes[0], report.Cause{Reason: "overload", Count: 20})
	assert.Equal(t, line.Alarm, report.AlarmNone)
	series.Add(now, report.Count{Total: 1000, Bad: 900}, nil)
	assert.Equal(t, report.Burn(now, service, series).Alarm, report.AlarmPage)
}
