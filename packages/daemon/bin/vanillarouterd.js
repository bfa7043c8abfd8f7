#!/usr/bin/env node
require("../dist/daemonMain.js");
