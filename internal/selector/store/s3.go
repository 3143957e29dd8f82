package store

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/rotisserie/eris"

	"cairndock/internal/readlimit"
	"cairndock/internal/selector/servesettings"
)

// Objects is a client for one bucket of a service with the S3 protocol.
type Objects struct {
	client *s3.Client
	bucket string
}

// NewObjects returns a client for the bucket in the settings.
func NewObjects(s servesettings.Platform) *Objects {
	return &Objects{bucket: s.Bucket, client: s3.New(s3.Options{
		BaseEndpoint: aws.String(s.ObjectEndpoint), Region: s.Region, UsePathStyle: true,
		Credentials: staticCredentials{s.AccessKey, s.SecretKey}, Retryer: aws.NopRetryer{}, HTTPClient: newHTTPClient(),
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})}
}

// PutObject creates or replaces an object. ErrThrottled means that nothing was
// written; after any other error the outcome is unknown.
func (o *Objects) PutObject(ctx context.Context, name string, body []byte) error {
	_, err := o.client.PutObject(ctx, &s3.PutObjectInput{Bucket: &o.bucket, Key: &name, Body: bytes.NewReader(body)})
	return objectError(err)
}

// GetObject reads a whole object. It returns ErrNotFound, ErrThrottled or
// another error of the call.
func (o *Objects) GetObject(ctx context.Context, name string) ([]byte, error) {
	out, err := o.client.GetObject(ctx, &s3.GetObjectInput{Bucket: &o.bucket, Key: &name})
	if err != nil {
		return nil, objectError(err)
	}
	defer out.Body.Close()
	body, err := io.ReadAll(readlimit.New(out.Body, maxObjectBytes, "object "+name))
	return body, eris.Wrap(err, "read object")
}

func objectError(err error) error {
	var missing *types.NoSuchKey
	switch {
	case errors.As(err, &missing):
		return ErrNotFound
	case hasCode(err, "SlowDown"):
		return eris.Wrap(ErrThrottled, "call object store")
	}
	return eris.Wrap(err, "call object store")
}
