// Package measurer keeps account of the users' two measures.
package measurer
