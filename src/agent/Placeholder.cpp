namespace hemlocklead {
}
