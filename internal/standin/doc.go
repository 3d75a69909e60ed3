// Package standin provides in-memory test doubles of the platform's services, of model engines and of plain services.
package standin
