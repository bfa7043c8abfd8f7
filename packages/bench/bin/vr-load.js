#!/usr/bin/env node
require("../dist/loadMain.js");
