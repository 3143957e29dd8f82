package standin

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"cairndock/internal/selector/store"
)

const (
	// targetPrefix is the prefix of a DynamoDB operation in the header
	// X-Amz-Target.
	targetPrefix = "DynamoDB_20120810."
	// errorPrefix is the prefix of the names of DynamoDB errors.
	errorPrefix = "com.amazonaws.dynamodb.v20120810#"
	// maxRequestBytes limits the body that is read from a request to the table.
	maxRequestBytes = 16 << 20
)

// The attributes of an item, which are the same as in package store.
const (
	// attrPartition is the partition key.
	attrPartition = "pk"
	// attrSort is the sort key.
	attrSort = "sk"
	// attrVersion is the row's version.
	attrVersion = "ver"
	// attrBody is the row's body.
	attrBody = "body"
)

// attr is a DynamoDB attribute value: a string, a number or bytes in base64.
type attr struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B *string `json:"B,omitempty"`
}

// item is a row as a map from attribute names to values.
type item map[string]attr

// serveTable serves the table over DynamoDB's JSON protocol.
func (p Platform) serveTable(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return // the client has disconnected
	}
	var out any
	switch strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix) {
	case "GetItem":
		out, err = p.getItem(r, body)
	case "Query":
		out, err = p.query(r, body)
	case "TransactWriteItems":
		out, err = p.transact(r, body)
	default:
		err = errors.New("unknown operation")
	}
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	if err != nil {
		writeTableError(w, err)
		return
	}
	_ = json.NewEncoder(w).Encode(out)
}

// tableError is the body of a DynamoDB error response.
type tableError struct {
	Type    string   `json:"__type"`
	Message string   `json:"message"`
	Reasons []reason `json:"CancellationReasons,omitempty"`
}

// reason is the reason why one item of a transaction failed.
type reason struct {
	Code string `json:"Code"`
}

// writeTableError writes a DynamoDB error response.
func writeTableError(w http.ResponseWriter, err error) {
	e := tableError{Type: errorPrefix + "InternalServerError", Message: err.Error()}
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, store.ErrConflict):
		e.Type = errorPrefix + "TransactionCanceledException"
		e.Reasons = []reason{{"ConditionalCheckFailed"}}
		status = http.StatusBadRequest
	case errors.Is(err, store.ErrThrottled):
		e.Type = errorPrefix + "ProvisionedThroughputExceededException"
		status = http.StatusBadRequest
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(e)
}

// getItem handles GetItem.
func (p Platform) getItem(r *http.Request, body []byte) (any, error) {
	var in struct{ Key item }
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, err
	}
	row, err := p.Memory.Get(r.Context(), keyOf(in.Key))
	if errors.Is(err, store.ErrNotFound) {
		return struct{}{}, nil
	}
	if err != nil {
		return nil, err
	}
	return struct{ Item item }{itemOf(row)}, nil
}

// pageBytes is the size of the rows' bodies at which a page of a query ends.
// DynamoDB ends a page at 1 MB of items.
const pageBytes = 1 << 20

// query handles Query.
func (p Platform) query(r *http.Request, body []byte) (any, error) {
	var in struct {
		Limit                     int
		ExpressionAttributeValues item
		ExclusiveStartKey         item
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, err
	}
	after := in.ExpressionAttributeValues[":a"]
	if start, ok := in.ExclusiveStartKey[attrSort]; ok {
		after = start
	}
	rows, err := p.Memory.List(r.Context(), valueOf(in.ExpressionAttributeValues[":p"].S), valueOf(after.S), in.Limit)
	if err != nil {
		return nil, err
	}
	out := struct {
		Items            []item
		Count            int
		LastEvaluatedKey item `json:",omitempty"`
	}{Items: []item{}}
	size := 0
	for _, row := range rows {
		it := itemOf(row)
		out.Items = append(out.Items, it)
		if size += len(row.Body); size >= pageBytes {
			out.LastEvaluatedKey = item{attrPartition: it[attrPartition], attrSort: it[attrSort]}
			break
		}
	}
	out.Count = len(out.Items)
	return out, nil
}

// transact handles TransactWriteItems, for puts only.
func (p Platform) transact(r *http.Request, body []byte) (any, error) {
	var in struct {
		TransactItems []struct {
			Put struct {
				Item                      item
				ExpressionAttributeValues item
			}
		}
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, err
	}
	var writes []store.Write
	for _, t := range in.TransactItems {
		raw, err := base64.StdEncoding.DecodeString(valueOf(t.Put.Item[attrBody].B))
		if err != nil {
			return nil, err
		}
		// Without a version, the condition is that the row does not exist.
		version, _ := strconv.ParseInt(valueOf(t.Put.ExpressionAttributeValues[":v"].N), 10, 64)
		writes = append(writes, store.Write{Key: keyOf(t.Put.Item), IfVersion: version, Body: raw})
	}
	return struct{}{}, p.Memory.Transact(r.Context(), writes)
}

// valueOf returns the value of an attribute, or "" if it has none.
func valueOf(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

// keyOf returns the key of an item.
func keyOf(i item) store.Key {
	return store.Key{Partition: valueOf(i[attrPartition].S), Sort: valueOf(i[attrSort].S)}
}

// itemOf returns a row as an item.
func itemOf(row store.Row) item {
	version := strconv.FormatInt(row.Version, 10)
	body := base64.StdEncoding.EncodeToString(row.Body)
	return item{
		attrPartition: {S: &row.Key.Partition}, attrSort: {S: &row.Key.Sort},
		attrVersion: {N: &version}, attrBody: {B: &body},
	}
}
