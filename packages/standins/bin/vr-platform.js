#!/usr/bin/env node
require("../dist/platformMain.js");
