// Command protogen generates the Go code of protobuf files. Its arguments are the files, relative to the
// directory given by -root. It needs no protoc.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/cmd/protoc-gen-go/internal_gengo"
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	root := flag.String("root", ".", "directory that the files are relative to")
	flag.Parse()
	for _, file := range flag.Args() {
		if err := generate(*root, file); err != nil {
			fmt.Fprintf(os.Stderr, "protogen: %s: %v\n", file, err)
			os.Exit(1)
		}
	}
}

// generate writes the code of one file beside it.
func generate(root, file string) error {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{root}},
		SourceInfoMode: protocompile.SourceInfoStandard, // for comments
	}
	files, err := compiler.Compile(context.Background(), file)
	if err != nil {
		return err
	}
	plugin, err := protogen.Options{}.New(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{file},
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protodesc.ToFileDescriptorProto(files[0])},
	})
	if err != nil {
		return err
	}
	internal_gengo.GenerateFile(plugin, plugin.FilesByPath[file])
	response := plugin.Response()
	if response.Error != nil {
		return fmt.Errorf("generating: %s", response.GetError())
	}
	for _, f := range response.File {
		if err := os.WriteFile(filepath.Join(root, f.GetName()), []byte(f.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
