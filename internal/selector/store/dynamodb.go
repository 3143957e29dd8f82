package store

import (
	"context"
	"errors"
	"slices"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	"github.com/rotisserie/eris"

	"cairndock/internal/selector/servesettings"
)

// The attributes of an item. They are the table's schema
// (docs/operations/settings.md) and stored data.
const (
	// attrPartition is the partition key, a string.
	attrPartition = "pk"
	// attrSort is the sort key, a string.
	attrSort = "sk"
	// attrVersion is Row.Version, a number.
	attrVersion = "ver"
	// attrBody is Row.Body, binary.
	attrBody = "body"
)

// staticCredentials provides the keys in the settings. Credentials of the
// environment or of a metadata service are never used.
type staticCredentials struct{ id, secret string }

// Retrieve implements aws.CredentialsProvider.
func (c staticCredentials) Retrieve(context.Context) (aws.Credentials, error) {
	return aws.Credentials{AccessKeyID: c.id, SecretAccessKey: c.secret, Source: "settings"}, nil
}

// Table is a client for one table of a service with the DynamoDB protocol.
type Table struct {
	client *dynamodb.Client
	name   string
}

// NewTable returns a client for the table in the settings.
func NewTable(s servesettings.Platform) *Table {
	return &Table{name: s.Table, client: dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(s.TableEndpoint), Region: s.Region,
		Credentials: staticCredentials{s.AccessKey, s.SecretKey}, Retryer: aws.NopRetryer{}, HTTPClient: newHTTPClient(),
	})}
}

// Get reads a row with a strongly consistent read. It returns ErrNotFound,
// ErrThrottled or another error of the call.
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

// Transact writes all rows or none. ErrConflict and ErrThrottled mean that
// nothing was written; after any other error the outcome is unknown.
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

// List reads up to limit rows of a partition whose sort key is greater than
// after, ordered by sort key, with strongly consistent reads. It returns fewer
// rows only if there are no more. DynamoDB ends a page at 1 MB, which for large
// rows is before limit, so List reads as many pages as needed.
func (t *Table) List(ctx context.Context, partition, after string, limit int) ([]Row, error) {
	var rows []Row
	page := &dynamodb.QueryInput{
		TableName: &t.name, ConsistentRead: aws.Bool(true),
		KeyConditionExpression: aws.String(attrPartition + " = :p AND " + attrSort + " > :a"),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":p": stringAttr(partition), ":a": stringAttr(after),
		},
	}
	for {
		page.Limit = aws.Int32(int32(limit - len(rows)))
		out, err := t.client.Query(ctx, page)
		if err != nil {
			return nil, tableError(err)
		}
		for _, item := range out.Items {
			row, err := rowOf(item)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
		page.ExclusiveStartKey = out.LastEvaluatedKey
		if len(out.LastEvaluatedKey) == 0 || len(rows) >= limit {
			return rows, nil
		}
	}
}

func stringAttr(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func numberAttr(n int64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(n, 10)}
}

// rowOf decodes an item. The table's schema and put determine the types of keys
// and body. The version is checked, because a row without a version would be
// treated as a row that does not exist.
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

// tableError converts an error of the client. A failed condition becomes
// ErrConflict. A conflict with another transaction and an exceeded rate limit
// become ErrThrottled, after which a call may be retried.
func tableError(err error) error {
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		for _, r := range canceled.CancellationReasons {
			if aws.ToString(r.Code) == "ConditionalCheckFailed" {
				return ErrConflict
			}
		}
		return eris.Wrap(ErrThrottled, "transaction was canceled")
	}
	// DynamoDB reports an exceeded rate limit with one of these three codes.
	if hasCode(err, "ProvisionedThroughputExceededException", "ThrottlingException", "RequestLimitExceeded") {
		return eris.Wrap(ErrThrottled, "call table")
	}
	return eris.Wrap(err, "call table")
}

// hasCode reports whether err is an API error with one of the codes.
func hasCode(err error, codes ...string) bool {
	var api smithy.APIError
	return errors.As(err, &api) && slices.Contains(codes, api.ErrorCode())
}
