// Package rgmodel holds the data types that all other packages share.
package rgmodel
