package admin

import (
	"github.com/kataras/iris/v12"
)

func (admin *Admin) getStatus(ctx iris.Context) error {
	return writeJSON(ctx, iris.StatusOK, admin.status())
}

func (admin *Admin) status() Status {
	store := admin.config.ConfigStore
	role, detail := admin.config.Process.Status()
	return Status{
		Instance:     admin.config.Instance,
		Role:         role,
		Ready:        admin.config.Process.Ready(),
		Version:      store.Current().Version(),
		ConfirmedAge: formatAge(store.ConfirmedAge()),
		Isolated:     store.Isolated(),
		Detail:       detail,
	}
}

func (admin *Admin) getHealth(ctx iris.Context) error {
	_, err := ctx.WriteString("ok\n")
	return err
}

func (admin *Admin) getReady(ctx iris.Context) error {
	text := "ready\n"
	if !admin.config.Process.Ready() {
		ctx.StatusCode(iris.StatusServiceUnavailable)
		text = "not ready\n"
	}
	_, err := ctx.WriteString(text)
	return err
}
