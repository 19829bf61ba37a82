// Package newspbconnect holds the generated client and server for fetches between daemons, see package news.
package newspbconnect
