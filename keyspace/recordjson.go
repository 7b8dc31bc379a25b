package keyspace

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"strings"
)

// Records with thousands of ranges are stored column by column. Each host reads the record
// at every change of the assignment, ten times as fast as with one object per range.

// minColumnRanges is the number of ranges from which a record is stored in columns.
const minColumnRanges = 1024

// serverSeparator separates the servers of a column. A record with a server whose ID contains
// it is not stored in columns.
const serverSeparator = "\n"

// rangeColumns are the ranges of a record, column by column. Numbers are big-endian, with two
// bytes in To and eight in the others.
type rangeColumns struct {
	// To contains the last keys. Each range starts after the end of the one before.
	To []byte `json:"to"`
	// Servers contains the owners, separated by serverSeparator.
	Servers string `json:"servers"`
	Starts  []byte `json:"starts"`
	Tokens  []byte `json:"tokens"`
	// Moving contains the ranges that have former holders.
	Moving []movingRange `json:"moving,omitempty"`
}

// movingRange holds the fields of a moving range that have no column.
type movingRange struct {
	Index          int      `json:"index"`
	FormerHolders  []Holder `json:"former"`
	GrantsAnswered bool     `json:"answered,omitempty"`
}

// recordFields is a Record without its methods.
type recordFields Record

// wireRecord is a record as it is stored.
type wireRecord struct {
	*recordFields
	Columns *rangeColumns `json:"columns,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (r Record) MarshalJSON() ([]byte, error) {
	if !r.fitsColumns() {
		return json.Marshal(recordFields(r))
	}
	columns, servers := &rangeColumns{}, make([]string, len(r.Ranges))
	for i := range r.Ranges {
		each := &r.Ranges[i]
		servers[i] = each.Server
		columns.To = binary.BigEndian.AppendUint16(columns.To, each.To)
		columns.Starts = binary.BigEndian.AppendUint64(columns.Starts, uint64(each.Start))
		columns.Tokens = binary.BigEndian.AppendUint64(columns.Tokens, each.Token)
		if each.Moving() || each.GrantsAnswered {
			columns.Moving = append(columns.Moving, movingRange{Index: i, FormerHolders: each.FormerHolders, GrantsAnswered: each.GrantsAnswered})
		}
	}
	columns.Servers = strings.Join(servers, serverSeparator)
	r.Ranges = nil
	return json.Marshal(wireRecord{recordFields: (*recordFields)(&r), Columns: columns})
}

func (r *Record) fitsColumns() bool {
	if len(r.Ranges) < minColumnRanges || r.Validate() != nil {
		return false
	}
	return !slices.ContainsFunc(r.Ranges, func(each Range) bool { return strings.Contains(each.Server, serverSeparator) })
}

// UnmarshalJSON implements json.Unmarshaler. The error of a record whose columns do not fit
// together is an *InvariantError.
func (r *Record) UnmarshalJSON(data []byte) error {
	*r = Record{}
	wire := wireRecord{recordFields: (*recordFields)(r)}
	if err := json.Unmarshal(data, &wire); err != nil || wire.Columns == nil {
		return err
	}
	return wire.Columns.decodeInto(r)
}

func (c *rangeColumns) decodeInto(r *Record) error {
	servers := strings.Split(c.Servers, serverSeparator)
	n := len(servers)
	if len(c.To) != 2*n || len(c.Starts) != 8*n || len(c.Tokens) != 8*n {
		return &InvariantError{Detail: "the columns have different lengths"}
	}
	r.Ranges = make([]Range, n)
	from := 0
	for i, server := range servers {
		to := binary.BigEndian.Uint16(c.To[2*i:])
		r.Ranges[i] = Range{From: uint16(from), To: to, Holder: Holder{Server: server,
			Start: int64(binary.BigEndian.Uint64(c.Starts[8*i:])), Token: binary.BigEndian.Uint64(c.Tokens[8*i:])}}
		from = int(to) + 1
	}
	for _, moving := range c.Moving {
		if moving.Index < 0 || moving.Index >= n {
			return &InvariantError{Detail: "the moving column has an index that is out of range"}
		}
		r.Ranges[moving.Index].FormerHolders, r.Ranges[moving.Index].GrantsAnswered = moving.FormerHolders, moving.GrantsAnswered
	}
	return nil
}
