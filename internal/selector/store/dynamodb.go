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

// staticCredentials provides the keys of the settings, and never those of the
// environment or of a metadata service.
type staticCredentials struct{ id, secret string }

// Retrieve implements aws.CredentialsProvider.
func (c staticCredentials) Retrieve(context.Context) (aws.Credentials, error) {
	return aws.Credentials{AccessKeyID: c.id, SecretAccessKey: c.secret, Source: "settings"}, nil
}

// Table is a client of one table, by the DynamoDB protocol.
type Table struct {
	client *dynamodb.Client
	name   string
}

// NewTable makes a client of the table in the settings.
func NewTable(s servesettings.Platform) *Table {
	return &Table{name: s.Table, client: dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(s.TableEndpoint), Region: s.Region,
		Credentials: staticCredentials{s.AccessKey, s.SecretKey}, Retryer: aws.NopRetryer{},
	})}
}

// Get reads a row by a strongly consistent read. Its errors are ErrNotFound,
// ErrThrottled and those of the network.
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

// List reads up to limit rows of a partition whose sort key is above after, in
// the order of the sort key, by strongly consistent reads. It gives fewer only
// when there are no more: DynamoDB ends a page at 1 MB, below the limit where
// rows are large, so List reads on.
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

// rowOf decodes an item. Keys and body are typed by the table's schema and by
// put; the version is checked, as a missing one would pass for a new row.
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

// tableError distinguishes a failed condition from a collision with another
// transaction and from the rate limit, after which a call may be sent again.
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
	// The three codes by which DynamoDB reports a rate limit.
	if hasCode(err, "ProvisionedThroughputExceededException", "ThrottlingException", "RequestLimitExceeded") {
		return eris.Wrap(ErrThrottled, "call table")
	}
	return eris.Wrap(err, "call table")
}

// hasCode reports whether an error of a service has one of the codes.
func hasCode(err error, codes ...string) bool {
	var api smithy.APIError
	return errors.As(err, &api) && slices.Contains(codes, api.ErrorCode())
}
