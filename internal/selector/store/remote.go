package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	s3types "github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/aws/smithy-go"
	"github.com/rotisserie/eris"

	"cairndock/internal/settings"
)

// The attributes of a row.
const (
	attrPartition = "pk"
	attrSort      = "sk"
	attrVersion   = "ver"
	attrBody      = "body"
	// hostsTimeout bounds a read of the host list.
	hostsTimeout = 3 * time.Second
	maxHostsBody = 8 << 20
)

// staticCredentials gives the keys of the settings and looks nowhere else.
type staticCredentials struct{ id, secret string }

// Retrieve implements aws.CredentialsProvider.
func (c staticCredentials) Retrieve(context.Context) (aws.Credentials, error) {
	return aws.Credentials{AccessKeyID: c.id, SecretAccessKey: c.secret, Source: "settings"}, nil
}

// Check notes the section's faults.
func Check(s settings.Platform, f *settings.Faults) {
	f.Require(s.TableEndpoint != "", "platform.table_endpoint", "must be set")
	f.Require(s.ObjectEndpoint != "", "platform.object_endpoint", "must be set")
	f.Require(s.HostsURL != "", "platform.hosts_url", "must be set")
	f.Require(s.AccessKey != "", "platform.access_key", "must be set")
	f.Require(s.SecretKey != "", "platform.secret_key", "must be set")
}

// Table is the platform's table, by the DynamoDB protocol.
type Table struct {
	client *dynamodb.Client
	name   string
}

// NewTable makes an adapter. It never retries by itself: its callers know
// what a lost answer means to them.
func NewTable(s settings.Platform) *Table {
	return &Table{name: s.Table, client: dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(s.TableEndpoint), Region: s.Region,
		Credentials: staticCredentials{s.AccessKey, s.SecretKey}, Retryer: aws.NopRetryer{},
	})}
}

// Get reads a row, never an old one.
func (t *Table) Get(ctx context.Context, key Key) (Row, error) {
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName: &t.name, ConsistentRead: aws.Bool(true),
		Key: map[string]types.AttributeValue{attrPartition: stringAttr(key.Partition), attrSort: stringAttr(key.Sort)},
	})
	if err != nil {
		return Row{}, tableError(err)
	}
	if len(out.Item) == 0 {
		return Row{}, ErrNotFound
	}
	return rowOf(out.Item)
}

// Transact writes all rows or none.
func (t *Table) Transact(ctx context.Context, writes []Write) error {
	items := make([]types.TransactWriteItem, 0, len(writes))
	for _, w := range writes {
		items = append(items, types.TransactWriteItem{Put: t.put(w)})
	}
	_, err := t.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	return tableError(err)
}

func (t *Table) put(w Write) *types.Put {
	p := &types.Put{
		TableName: &t.name,
		Item: map[string]types.AttributeValue{
			attrPartition: stringAttr(w.Key.Partition), attrSort: stringAttr(w.Key.Sort),
			attrVersion: numberAttr(w.IfVersion + 1), attrBody: &types.AttributeValueMemberB{Value: w.Body},
		},
		ConditionExpression: aws.String("attribute_not_exists(" + attrPartition + ")"),
	}
	if w.IfVersion > 0 {
		p.ConditionExpression = aws.String(attrVersion + " = :v")
		p.ExpressionAttributeValues = map[string]types.AttributeValue{":v": numberAttr(w.IfVersion)}
	}
	return p
}

// List reads up to limit rows of a partition whose sort key is above after.
func (t *Table) List(ctx context.Context, partition, after string, limit int) ([]Row, error) {
	out, err := t.client.Query(ctx, &dynamodb.QueryInput{
		TableName: &t.name, ConsistentRead: aws.Bool(true), Limit: aws.Int32(int32(limit)),
		KeyConditionExpression: aws.String(attrPartition + " = :p AND " + attrSort + " > :a"),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":p": stringAttr(partition), ":a": stringAttr(after),
		},
	})
	if err != nil {
		return nil, tableError(err)
	}
	rows := make([]Row, 0, len(out.Items))
	for _, item := range out.Items {
		row, err := rowOf(item)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func stringAttr(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func numberAttr(n int64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(n, 10)}
}

func rowOf(item map[string]types.AttributeValue) (Row, error) {
	var row Row
	if v, ok := item[attrPartition].(*types.AttributeValueMemberS); ok {
		row.Key.Partition = v.Value
	}
	if v, ok := item[attrSort].(*types.AttributeValueMemberS); ok {
		row.Key.Sort = v.Value
	}
	if v, ok := item[attrBody].(*types.AttributeValueMemberB); ok {
		row.Body = v.Value
	}
	v, ok := item[attrVersion].(*types.AttributeValueMemberN)
	if !ok {
		return row, eris.Errorf("row %v has no version", row.Key)
	}
	version, err := strconv.ParseInt(v.Value, 10, 64)
	row.Version = version
	return row, eris.Wrap(err, "read row version")
}

func tableError(err error) error {
	if err == nil {
		return nil
	}
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		return canceledError(canceled)
	}
	var api smithy.APIError
	if errors.As(err, &api) {
		switch api.ErrorCode() {
		case "ProvisionedThroughputExceededException", "ThrottlingException", "RequestLimitExceeded":
			return eris.Wrap(ErrThrottled, "call table")
		}
	}
	return eris.Wrap(err, "call table")
}

// canceledError tells a failed condition from a transaction that met another
// one or the rate limit and may be tried again.
func canceledError(canceled *types.TransactionCanceledException) error {
	for _, r := range canceled.CancellationReasons {
		if aws.ToString(r.Code) == "ConditionalCheckFailed" {
			return ErrConflict
		}
	}
	return eris.Wrap(ErrThrottled, "transaction was cancelled")
}

// Objects is the platform's object store, by the S3 protocol.
type Objects struct {
	client *s3.Client
	bucket string
}

// NewObjects makes an adapter.
func NewObjects(s settings.Platform) *Objects {
	return &Objects{bucket: s.Bucket, client: s3.New(s3.Options{
		BaseEndpoint: aws.String(s.ObjectEndpoint), Region: s.Region, UsePathStyle: true,
		Credentials: staticCredentials{s.AccessKey, s.SecretKey}, Retryer: aws.NopRetryer{},
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})}
}

// PutObject stores an object.
func (o *Objects) PutObject(ctx context.Context, name string, body []byte) error {
	_, err := o.client.PutObject(ctx, &s3.PutObjectInput{Bucket: &o.bucket, Key: &name, Body: bytes.NewReader(body)})
	return objectError(err)
}

// GetObject reads an object.
func (o *Objects) GetObject(ctx context.Context, name string) ([]byte, error) {
	out, err := o.client.GetObject(ctx, &s3.GetObjectInput{Bucket: &o.bucket, Key: &name})
	if err != nil {
		return nil, objectError(err)
	}
	defer out.Body.Close()
	body, err := io.ReadAll(out.Body)
	return body, eris.Wrap(err, "read object")
}

func objectError(err error) error {
	if err == nil {
		return nil
	}
	var missing *s3types.NoSuchKey
	if errors.As(err, &missing) {
		return ErrNotFound
	}
	var api smithy.APIError
	if errors.As(err, &api) && api.ErrorCode() == "SlowDown" {
		return eris.Wrap(ErrThrottled, "call object store")
	}
	return eris.Wrap(err, "call object store")
}

// HostList is the platform's list of hosts, read as JSON.
type HostList struct {
	client *http.Client
	url    string
}

// NewHostList makes an adapter.
func NewHostList(s settings.Platform) *HostList {
	return &HostList{client: &http.Client{Timeout: hostsTimeout}, url: s.HostsURL}
}

// Hosts reads the list.
func (l *HostList) Hosts(ctx context.Context) ([]HostState, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "make request")
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "read host list")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("host list answered %d", resp.StatusCode)
	}
	var hosts []HostState
	err = json.NewDecoder(io.LimitReader(resp.Body, maxHostsBody)).Decode(&hosts)
	return hosts, eris.Wrap(err, "decode host list")
}
