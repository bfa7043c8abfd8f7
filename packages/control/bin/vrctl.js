#!/usr/bin/env node
require("../dist/controlMain.js");
