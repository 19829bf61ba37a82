// Package newspbconnect holds the generated client and server of news between daemons.
package newspbconnect
