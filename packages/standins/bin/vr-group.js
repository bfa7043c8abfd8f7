#!/usr/bin/env node
require("../dist/groupMain.js");
