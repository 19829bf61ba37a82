// Package newspb holds the generated protobuf messages that daemons exchange, see package news.
package newspb
