// Package admin implements the admin API, with which operators change the
// configuration of customers and query what is in force.
//
// An [Editor] makes the changes. Each change is one conditional write of a customer's
// record. It is accepted once the entries that have put it in force have a member in
// common with every majority of the entries. A [Survey] queries all entries for the
// versions in force. A [Handler] serves both over HTTP and authenticates operators by
// their keys; the decisions do not depend on it. A [Client] calls the API.
//
// # Usage
//
//	editor := admin.NewEditor(admin.EditorOptions{
//		Objects: objects, Directory: directory, Acceptance: acceptance, Log: log, Now: time.Now,
//	})
//	result, err := editor.Apply(ctx, operator, admin.Application{
//		Customer: "workshop", Template: template, Parameters: parameters,
//	})
//
//	handler := admin.NewHandler(admin.HandlerOptions{Editor: editor, Survey: survey, Operators: operators})
//	cleanup, err := web.Serve(address, tlsConfig, handler.Routes())
package admin
