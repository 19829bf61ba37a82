// Package newspb holds the generated messages of news between daemons.
package newspb
