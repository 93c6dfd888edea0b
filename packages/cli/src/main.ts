console.log("gooseberryctl");
